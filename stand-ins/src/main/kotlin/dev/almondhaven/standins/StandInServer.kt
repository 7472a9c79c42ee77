package dev.almondhaven.standins

import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import java.net.InetSocketAddress
import java.net.URI

/**
 * An HTTP server on loopback for one stand-in.
 *
 * ```
 * val engine = EngineStandIn()
 * StandInServer.start { engine.addTo(it) }.use { server -> call(server.address) }
 * ```
 */
public class StandInServer private constructor(
    private val server: Server,
) : AutoCloseable {
    /** Port the server listens on. */
    public val port: Int get() = server.activeLocalPort()

    /** `ip:port`, as release notes write endpoint addresses. */
    public val hostAndPort: String get() = "$LOOPBACK:$port"

    /** Address as a URI. */
    public val address: URI get() = URI("http://$hostAndPort")

    /** Waits until the server has stopped. */
    public fun join(): Unit = server.blockUntilShutdown()

    /** Stops listening and closes connections in the background. */
    override fun close() {
        server.stop()
    }

    public companion object {
        private const val LOOPBACK = "127.0.0.1"

        /** Starts a server on [port], or on any free one, with the services that [configure] adds. */
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
