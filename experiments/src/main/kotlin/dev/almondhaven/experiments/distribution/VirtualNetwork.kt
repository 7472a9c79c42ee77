package dev.almondhaven.experiments.distribution

import dev.almondhaven.decision.membership.Member
import dev.almondhaven.peer.PeerKey
import dev.almondhaven.peer.PeerKeyRing
import org.apache.commons.rng.UniformRandomProvider
import java.io.ByteArrayOutputStream
import java.util.zip.GZIPOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * Faults that the network injects.
 *
 * @property loss share of messages lost in each direction, from 0 to 1.
 * @property duplication share of messages delivered twice, from 0 to 1.
 * @property longestDelay largest one-way delay of a message.
 */
internal data class NetworkFaults(
    val loss: Double = 0.0,
    val duplication: Double = 0.0,
    val longestDelay: Duration = 3.milliseconds,
)

/** Drops messages from failure domain [from] to failure domain [to]; the other direction is not affected. */
internal data class DirectedPartition(
    val from: String,
    val to: String,
)

/** Delivers signed messages between routers with delay, loss, duplication and partitions; counts their bytes. */
internal class VirtualNetwork(
    private val scheduler: VirtualScheduler,
    private val random: UniformRandomProvider,
) {
    private val keys = PeerKeyRing(listOf(PeerKey("0123456789abcdef")))
    private val routers = HashMap<String, VirtualRouter>()
    var faults = NetworkFaults()
    val partitions = HashSet<DirectedPartition>()
    var messages = 0L
        private set
    var bodyBytes = 0L
        private set

    fun attach(router: VirtualRouter) {
        routers[router.self.peerAddress] = router
    }

    /** Sends [body] to [to]; [done] receives the response, or null after a timeout. */
    fun post(
        from: VirtualRouter,
        to: Member,
        path: String,
        body: String,
        done: (String?) -> Unit,
    ) {
        var ended = false
        val finish = { answer: String? ->
            if (!ended) {
                ended = true
                done(answer)
            }
        }
        scheduler.after(TIMEOUT) { finish(null) }
        val signature = keys.signRequest(path, body)
        carry(from.self, to.peerAddress, body) { receiver ->
            check(keys.verifiesRequest(signature, path, body)) { "signature of $path" }
            receiver.serve(path, body) { answer ->
                val answerSignature = keys.signAnswer(signature, answer)
                carry(receiver.self, from.self.peerAddress, answer) {
                    check(
                        keys.verifiesAnswer(answerSignature, signature, answer),
                    ) { "signature of the answer to $path" }
                    finish(answer)
                }
            }
        }
    }

    private fun carry(
        from: Member,
        address: String,
        text: String,
        arrive: (VirtualRouter) -> Unit,
    ) {
        messages++
        bodyBytes += wireBytes(text)
        val copies = if (random.nextDouble() < faults.duplication) 2 else 1
        repeat(copies) { if (random.nextDouble() >= faults.loss) deliver(from, address, arrive) }
    }

    private fun deliver(
        from: Member,
        address: String,
        arrive: (VirtualRouter) -> Unit,
    ) {
        scheduler.after(delay()) {
            val receiver = routers[address] ?: return@after
            val link = DirectedPartition(from.failureDomain.value, receiver.self.failureDomain.value)
            if (link !in partitions) receiver.whenRunning { arrive(receiver) }
        }
    }

    private fun delay(): Duration {
        val range = (faults.longestDelay - SHORTEST_DELAY).inWholeNanoseconds
        return SHORTEST_DELAY + (random.nextLong(range + 1) / NANOS_PER_MICROSECOND).microseconds
    }

    private fun wireBytes(text: String): Int {
        val bytes = text.toByteArray()
        if (bytes.size < GZIP_MINIMUM_BYTES) return bytes.size
        val output = ByteArrayOutputStream()
        GZIPOutputStream(output).use { it.write(bytes) }
        return output.size()
    }

    private companion object {
        const val NANOS_PER_MICROSECOND = 1_000L
        const val GZIP_MINIMUM_BYTES = 4_096
        val SHORTEST_DELAY: Duration = 1.milliseconds
        val TIMEOUT: Duration = 500.milliseconds
    }
}
