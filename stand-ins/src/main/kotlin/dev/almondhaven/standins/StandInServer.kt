package dev.almondhaven.standins

import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import java.net.InetSocketAddress
import java.net.URI

/**
 * HTTP server that serves one stand-in on the loopback interface.
 *
 * ```
 * val engine = EngineStandIn()
 * StandInServer.start { engine.addTo(it) }.use { server -> call(server.address) }
 * ```
 */
public class StandInServer private constructor(
    private val server: Server,
) : AutoCloseable {
    /** Port that the server listens on. */
    public val port: Int get() = server.activeLocalPort()

    /** The address as `ip:port`, the format of endpoint addresses in release notes. */
    public val hostAndPort: String get() = "$LOOPBACK:$port"

    /** The address as an HTTP URI. */
    public val address: URI get() = URI("http://$hostAndPort")

    /** Waits until the server has stopped. */
    public fun join(): Unit = server.blockUntilShutdown()

    /** Starts to stop the server, without waiting until it has closed its connections. */
    override fun close() {
        server.stop()
    }

    public companion object {
        private const val LOOPBACK = "127.0.0.1"

        /** Starts a server with the services that [configure] adds, on [port] or, if it is 0, on a free port. */
        public fun start(
            port: Int = 0,
            configure: (ServerBuilder) -> Unit,
        ): StandInServer {
            val builder = Server.builder().http(InetSocketAddress(LOOPBACK, port))
            configure(builder)
            val server = builder.build()
            server.start().join()
            return StandInServer(server)
        }
    }
}
