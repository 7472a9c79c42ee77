package dev.almondhaven.gateway

import dev.almondhaven.gateway.call.BufferedBytes
import dev.almondhaven.gateway.net.CallerRequest
import dev.almondhaven.gateway.net.CallerServer
import dev.almondhaven.gateway.net.InFlightRequest
import dev.almondhaven.gateway.net.RequestHandler
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.platform.WireSamples
import dev.almondhaven.traffic.CallerLimits
import dev.almondhaven.traffic.NodeSettings
import dev.almondhaven.traffic.TrafficBounds
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/**
 * A gateway in front of [endpoints], with a store that lists them; all in this process on loopback.
 *
 * @param allowsRetries whether the retry budget allows any retries.
 * @param heldPath path of the store's objects that it doesn't return until [releaseStore].
 * @param evacuatedDomain failure domain that the store lists as evacuated; null for none.
 * @param otherEntries entries of other writers that the store lists among those of the endpoints.
 * @param otherAddresses addresses of further endpoints that the store lists.
 * @param bodyLimit bytes of the longest body of a request; null for the limit of the samples.
 * @param heldBytes bytes of incomplete responses that the gateway may hold in all.
 */
internal class GatewayFixture(
    private val endpoints: List<ScriptedEndpoint>,
    allowsRetries: Boolean = true,
    private val heldPath: String? = null,
    private val evacuatedDomain: String? = null,
    private val otherEntries: List<String> = emptyList(),
    private val otherAddresses: List<String> = emptyList(),
    private val bodyLimit: Int? = null,
    heldBytes: Long = BufferedBytes.ofHeap().limit,
) : AutoCloseable {
    private val heldResponses = ConcurrentLinkedQueue<() -> Unit>()

    /** Responses to the next watches of the endpoints. */
    val endpointChanges = ConcurrentLinkedQueue<String>()

    /** Revision that the store states; null for the one of the samples. */
    @Volatile
    var storeRevision: Long? = null

    /** Whether the store receives no call that watches the endpoints. */
    @Volatile
    var losesEndpointWatches = false

    /** Whether the store cuts off the next watch of the endpoints. */
    @Volatile
    var cutsEndpointWatch = false

    @Volatile
    private var isStoreReleased = false
    private var isClosed = false

    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val store = CallerServer(group, { CallerLimits.BEFORE_CONFIGURATION }, { false }, storeHandler())
    private val storePort = (store.listen("127.0.0.1:0").localAddress() as InetSocketAddress).port
    private val retryRatio = if (allowsRetries) 0.9 else 0.0
    private val retrySlack = if (allowsRetries) 50.0 else 0.0
    private val bounds = TrafficBounds(1.seconds, 2.seconds, 5.seconds, retryRatio, retrySlack, 10.seconds, 5.seconds)
    private val gateway =
        Gateway.start(
            NodeSettings(
                "test",
                FailureDomainId("here"),
                "127.0.0.1:0",
                "127.0.0.1:0",
                "127.0.0.1:$storePort",
                "127.0.0.1:0",
                bounds,
            ),
            bufferedBytes = BufferedBytes(heldBytes),
        )

    init {
        if (heldPath == null) awaitReady()
        endpoints.forEach { it.requestHeads.clear() }
    }

    private fun awaitReady() {
        repeat(MAX_READY_CHECKS) {
            if (!call("${WireSamples.UNARY_PATH}ready", id = "ready").startsWith("HTTP/1.1 503")) return
            TimeUnit.MILLISECONDS.sleep(READY_CHECK_INTERVAL_MILLIS)
        }
    }

    /** Lets the store return what it holds back. */
    fun releaseStore(): Unit =
        group
            .next()
            .submit {
                isStoreReleased = true
                heldResponses.forEach { it() }
            }.get()
            .let {}

    private fun storeHandler() =
        RequestHandler { request: CallerRequest, writer ->
            val isEndpointWatch = request.target.startsWith("${WireSamples.ENDPOINTS_PATH}?")
            val isLost = losesEndpointWatches && isEndpointWatch && !request.target.endsWith(WITHOUT_WAIT)
            val changes = if (isEndpointWatch && !isLost && !cutsEndpointWatch) endpointChanges.poll() else null
            val sample =
                changes
                    ?: WireSamples.storeBody(
                        request.path,
                        endpoints.map { it.address } + otherAddresses,
                        evacuatedDomain,
                        otherEntries,
                    )
            val limited = bodyLimit?.let { sample.replace(SAMPLE_BODY_LIMIT, "\"maxBodyBytes\":$it") } ?: sample
            val body = storeRevision?.let { limited.replace(SAMPLE_REVISION, "\"currentRev\":$it}") } ?: limited
            val respond = { writer.respond(OK, listOf("Content-Type" to "application/json"), body.toByteArray()) }
            val isCut = isEndpointWatch && cutsEndpointWatch
            if (isCut) cutsEndpointWatch = false
            when {
                isCut -> writer.abort()
                isLost -> Unit
                request.path == heldPath && !isStoreReleased -> heldResponses += respond
                else -> respond()
            }
            object : InFlightRequest {
                override fun onCallerDisconnected() = Unit

                override fun onCallerWritable() = Unit
            }
        }

    /** Port on which the gateway listens for callers. */
    val callerPort: Int get() = gateway.callerPort

    fun connect(): Socket = Socket("127.0.0.1", callerPort)

    /** The text of a request; the router closes the connection after the response unless [keepAlive]. */
    fun request(
        path: String,
        id: String,
        body: String = "",
        headers: List<Pair<String, String>> = WireSamples.callHeaders(id),
        keepAlive: Boolean = false,
    ): String {
        val own = listOf("Host" to "127.0.0.1", "Content-Length" to "${body.length}")
        val end = if (keepAlive) emptyList() else listOf("Connection" to "close")
        val lines = (own + headers + end).joinToString("") { (name, value) -> "$name: $value\r\n" }
        return "POST $path HTTP/1.1\r\n$lines\r\n$body"
    }

    /** Sends the raw [text] on a new connection and returns all that is received until the connection closes. */
    fun sendRaw(text: String): String =
        connect().use { socket ->
            socket.getOutputStream().write(text.toByteArray())
            try {
                String(socket.getInputStream().readAllBytes())
            } catch (reset: SocketException) {
                "reset: ${reset.message}"
            }
        }

    fun call(
        path: String,
        id: String,
        body: String = "",
        headers: List<Pair<String, String>> = WireSamples.callHeaders(id),
    ): String = sendRaw(request(path, id, body, headers))

    /** Stops the gateway as a signal does; returns after the last response, or at the end of the grace period. */
    fun stop(): Unit = gateway.stop()

    override fun close() {
        if (isClosed) return
        isClosed = true
        gateway.stop()
        gateway.close()
        endpoints.forEach { it.close() }
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    private companion object {
        const val OK = 200

        /** End of a watch that returns at once. */
        const val WITHOUT_WAIT = "&waitMs=0"
        val SAMPLE_BODY_LIMIT = Regex(""""maxBodyBytes":\d+""")
        val SAMPLE_REVISION = Regex(""""currentRev":\d+\}$""")
        const val MAX_READY_CHECKS = 200
        const val READY_CHECK_INTERVAL_MILLIS = 20L
    }
}
