package dev.almondhaven.router.peer

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpStatus
import dev.almondhaven.peer.PeerProtocol
import dev.almondhaven.peer.VmListEntry
import dev.almondhaven.peer.VmState
import dev.almondhaven.store.ResponseHeadGuard
import kotlinx.serialization.builtins.ListSerializer
import java.net.URI
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Polls the platform's list of VMs. The list lags behind, so it only suggests where to look for routers. */
internal class VmListPoller(
    address: String,
) : AutoCloseable {
    private val path = URI(address).rawPath.ifEmpty { "/" }
    private val client =
        WebClient
            .builder(URI(address).resolve("/"))
            .factory(ResponseHeadGuard.CLIENT_FACTORY)
            .responseTimeoutMillis(RESPONSE_TIMEOUT.inWholeMilliseconds)
            .build()
    private val latestAddresses = AtomicReference<List<String>>()
    private val requestInFlight = AtomicBoolean()
    private var nextPollAt = System.nanoTime()

    /** Returns the peer addresses of the live VMs if a new list has arrived since the last call. Never blocks. */
    fun poll(): List<String>? {
        if (System.nanoTime() - nextPollAt >= 0 && requestInFlight.compareAndSet(false, true)) {
            nextPollAt = System.nanoTime() + POLL_INTERVAL.inWholeNanoseconds
            fetch()
        }
        return latestAddresses.getAndSet(null)
    }

    private fun fetch() {
        client.get(path).aggregate().handle { response, _ ->
            if (response?.status() == HttpStatus.OK) {
                runCatching { latestAddresses.set(parseAddresses(response.contentUtf8())) }
            }
            requestInFlight.set(false)
        }
    }

    private fun parseAddresses(text: String): List<String> =
        PeerProtocol.json
            .decodeFromString(ListSerializer(VmListEntry.serializer()), text)
            .filter { it.state == VmState.LIVE }
            .map { it.peerAddress }

    override fun close(): Unit = requestInFlight.set(true)

    private companion object {
        val POLL_INTERVAL: Duration = 15.seconds
        val RESPONSE_TIMEOUT: Duration = 2.seconds
    }
}
