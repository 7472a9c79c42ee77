package dev.almondhaven.gateway

import dev.almondhaven.gateway.net.CallerRequest
import dev.almondhaven.gateway.net.CallerServer
import dev.almondhaven.gateway.net.CompletedRequest
import dev.almondhaven.gateway.net.InFlightRequest
import dev.almondhaven.gateway.net.RequestHandler
import dev.almondhaven.gateway.net.ResponseWriter
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.platform.WireSamples
import dev.almondhaven.traffic.CallerLimits
import dev.almondhaven.traffic.NodeSettings
import dev.almondhaven.traffic.TrafficBounds
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.HttpURLConnection
import java.net.InetSocketAddress
import java.net.URI
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/**
 * Serves a few requests on loopback, with a store and endpoints that return fixed responses. The build runs it once to
 * create the class data sharing (CDS) archive of the classes that serving needs, which shortens the startup of the
 * router.
 */
internal class CdsTrainingRun {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    private class FixedResponseHandler(
        private val respond: (CallerRequest) -> Triple<Int, List<Pair<String, String>>, String>,
    ) : RequestHandler {
        override fun serve(
            request: CallerRequest,
            writer: ResponseWriter,
        ): InFlightRequest {
            val (status, headers, body) = respond(request)
            writer.respond(status, headers, body.toByteArray())
            return CompletedRequest
        }
    }

    private fun startServer(respond: (CallerRequest) -> Triple<Int, List<Pair<String, String>>, String>): String {
        val server =
            CallerServer(group, { CallerLimits.BEFORE_CONFIGURATION }, { false }, FixedResponseHandler(respond))
        return "127.0.0.1:${(server.listen("127.0.0.1:0").localAddress() as InetSocketAddress).port}"
    }

    /** Runs the training requests and returns the exit status: 0 if all were served. */
    fun run(): Int {
        val endpoint = startServer(::endpointResponse)
        val store = startServer { storeResponse(it, endpoint) }
        val bounds = TrafficBounds(1.seconds, 2.seconds, 5.seconds, 0.9, 50.0, 10.seconds, 5.seconds)
        val settings =
            NodeSettings(
                "rehearsal",
                FailureDomainId("here"),
                "127.0.0.1:0",
                "127.0.0.1:0",
                store,
                "127.0.0.1:0",
                bounds,
            )
        val listener = EarlyListener.open("127.0.0.1:0")
        val address = "${listener?.localAddress}".substringAfter('/')
        val gateway = Gateway.start(settings.copy(callerAddress = address), listener)
        val port = gateway.callerPort
        val ready =
            (1..MAX_WARM_UP_ATTEMPTS).any {
                requestSucceeds(port, STREAM).also { if (!it) TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS) }
            }
        val allServed = ready && (1..ROUNDS).all { requestSucceeds(port, STREAM) && requestSucceeds(port, UNARY) }
        gateway.stop()
        return if (allServed) 0 else 1
    }

    private fun endpointResponse(request: CallerRequest): Triple<Int, List<Pair<String, String>>, String> {
        val streamed = request.path.startsWith(WireSamples.STREAM_PATH)
        val headers = WireSamples.answerHeaders(REQUEST_ID, confidence = if (streamed) 90 else null)
        return Triple(OK, headers, if (streamed) EVENTS else "whole")
    }

    private fun storeResponse(
        request: CallerRequest,
        endpoint: String,
    ) = Triple(OK, listOf("Content-Type" to "application/json"), WireSamples.storeBody(request.path, listOf(endpoint)))

    private fun requestSucceeds(
        port: Int,
        path: String,
    ): Boolean {
        val connection = URI("http://127.0.0.1:$port$path").toURL().openConnection() as HttpURLConnection
        WireSamples.callHeaders(REQUEST_ID).forEach { (name, value) -> connection.setRequestProperty(name, value) }
        if (connection.responseCode != OK) return false
        return connection.inputStream.use { it.readBytes().isNotEmpty() }
    }

    private companion object {
        const val STREAM = "${WireSamples.STREAM_PATH}a"
        const val UNARY = "${WireSamples.UNARY_PATH}a"
        const val EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        const val REQUEST_ID = "r-1"
        const val OK = 200
        const val MAX_WARM_UP_ATTEMPTS = 50
        const val ROUNDS = 20
        const val RETRY_DELAY_MILLIS = 50L
    }
}
