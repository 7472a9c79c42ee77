package dev.almondhaven.gateway

import java.io.IOException
import java.net.InetSocketAddress
import java.nio.channels.ServerSocketChannel

/**
 * Opens the callers' port before the libraries are loaded, which takes most of a second on a small VM.
 *
 * Load pattern: all routers are lost at once, and the callers come back while they start. Without the port their
 * connections are refused, and most callers come back only once. With it the connections wait in the accept queue.
 */
internal object EarlyListener {
    /** Accommodates the burst of connections when the callers of a failure domain move to this router. */
    const val BACKLOG: Int = 1_024

    /** The open port of [address], an `ip:port`; null if it is missing, malformed or can't be bound. */
    fun open(address: String?): ServerSocketChannel? {
        val separator = address?.lastIndexOf(':') ?: return null
        val port = address.substring(separator + 1).toIntOrNull() ?: return null
        if (separator < 0 || port !in 0..MAX_PORT) return null
        val channel = ServerSocketChannel.open()
        return try {
            channel.bind(InetSocketAddress(address.substring(0, separator), port), BACKLOG)
        } catch (_: IOException) {
            // The regular start binds the port of the settings file and reports why that fails.
            channel.close()
            null
        }
    }

    private const val MAX_PORT = 65_535
}
