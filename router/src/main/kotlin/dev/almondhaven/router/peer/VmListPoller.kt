package dev.almondhaven.router.peer

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpStatus
import dev.almondhaven.peer.PeerProtocol
import dev.almondhaven.peer.VmListEntry
import dev.almondhaven.peer.VmState
import kotlinx.serialization.builtins.ListSerializer
import java.net.URI
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Reads the platform's list of VMs now and then. The list lags, so it only says where to look for routers. */
internal class VmListPoller(
    address: String,
) : AutoCloseable {
    private val path = URI(address).rawPath.ifEmpty { "/" }
    private val client =
        WebClient
            .builder(URI(address).resolve("/"))
            .responseTimeoutMillis(TIMEOUT.inWholeMilliseconds)
            .build()
    private val news = AtomicReference<List<String>>()
    private val reading = AtomicBoolean()
    private var nextAt = System.nanoTime()

    /** Peer addresses of the live VMs if the list has been read since the last call. Never blocks. */
    fun poll(): List<String>? {
        if (System.nanoTime() - nextAt >= 0 && reading.compareAndSet(false, true)) {
            nextAt = System.nanoTime() + INTERVAL.inWholeNanoseconds
            read()
        }
        return news.getAndSet(null)
    }

    private fun read() {
        client.get(path).aggregate().handle { response, _ ->
            if (response?.status() == HttpStatus.OK) runCatching { news.set(addresses(response.contentUtf8())) }
            reading.set(false)
        }
    }

    private fun addresses(text: String): List<String> =
        PeerProtocol.json
            .decodeFromString(ListSerializer(VmListEntry.serializer()), text)
            .filter { it.state == VmState.LIVE }
            .map { it.peerAddress }

    override fun close(): Unit = reading.set(true)

    private companion object {
        val INTERVAL: Duration = 15.seconds
        val TIMEOUT: Duration = 2.seconds
    }
}
