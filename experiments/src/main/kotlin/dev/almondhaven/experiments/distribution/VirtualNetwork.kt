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
 * How badly the network behaves.
 *
 * @property loss messages lost, from 0 to 1, in each direction.
 * @property duplication requests that arrive twice, from 0 to 1.
 * @property longestDelay one-way delay of the slowest message.
 */
internal data class NetworkFaults(
    val loss: Double = 0.0,
    val duplication: Double = 0.0,
    val longestDelay: Duration = 3.milliseconds,
)

/** A cut for messages from [from] to [to], failure domains by name; the other direction may still work. */
internal data class Cut(
    val from: String,
    val to: String,
)

/** Carries signed messages between virtual routers, with delay, loss, duplication and cuts; counts their bytes. */
internal class VirtualNetwork(
    private val scheduler: VirtualScheduler,
    private val random: UniformRandomProvider,
) {
    private val keys = PeerKeyRing(listOf(PeerKey("0123456789abcdef")))
    private val routers = HashMap<String, VirtualRouter>()
    var faults = NetworkFaults()
    val cuts = HashSet<Cut>()
    var messages = 0L
        private set
    var bodyBytes = 0L
        private set

    fun attach(router: VirtualRouter) {
        routers[router.self.peerAddress] = router
    }

    /** Sends [body]; [done] gets the answer, or null when there is none in time. */
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
            val cut = Cut(from.failureDomain.value, receiver.self.failureDomain.value)
            if (cut !in cuts) receiver.whenRunning { arrive(receiver) }
        }
    }

    private fun delay(): Duration {
        val range = (faults.longestDelay - SHORTEST_DELAY).inWholeNanoseconds
        return SHORTEST_DELAY + (random.nextLong(range + 1) / NANOS_PER_MICROSECOND).microseconds
    }

    private fun wireBytes(text: String): Int {
        val bytes = text.toByteArray()
        if (bytes.size < COMPRESSED_FROM_BYTES) return bytes.size
        val output = ByteArrayOutputStream()
        GZIPOutputStream(output).use { it.write(bytes) }
        return output.size()
    }

    private companion object {
        const val NANOS_PER_MICROSECOND = 1_000L
        const val COMPRESSED_FROM_BYTES = 4_096
        val SHORTEST_DELAY: Duration = 1.milliseconds
        val TIMEOUT: Duration = 500.milliseconds
    }
}
