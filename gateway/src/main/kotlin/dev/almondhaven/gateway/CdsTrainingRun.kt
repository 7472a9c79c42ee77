package dev.almondhaven.gateway

import dev.almondhaven.gateway.net.CallerRequest
import dev.almondhaven.gateway.net.CallerServer
import dev.almondhaven.gateway.net.InFlightRequest
import dev.almondhaven.gateway.net.RequestHandler
import dev.almondhaven.gateway.net.ResponseWriter
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.platform.WireSamples
import dev.almondhaven.traffic.CallerLimits
import dev.almondhaven.traffic.RouterPlace
import dev.almondhaven.traffic.TrafficBounds
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.HttpURLConnection
import java.net.InetSocketAddress
import java.net.URI
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/**
 * Serves a few requests on loopback, with a store and endpoints that answer from fixed texts. The build runs it once to
 * archive the classes that serving needs, so that a process that starts takes requests sooner.
 */
internal class CdsTrainingRun {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    private class Fixed(
        private val answer: (CallerRequest) -> Triple<Int, List<Pair<String, String>>, String>,
    ) : RequestHandler {
        override fun serve(
            request: CallerRequest,
            port: ResponseWriter,
        ): InFlightRequest {
            val (status, headers, body) = answer(request)
            port.answer(status, headers, body.toByteArray())
            return Done
        }

        private object Done : InFlightRequest {
            override fun onCallerDisconnected() = Unit

            override fun onCallerWritable() = Unit
        }
    }

    private fun serve(answer: (CallerRequest) -> Triple<Int, List<Pair<String, String>>, String>): String {
        val server = CallerServer(group, { CallerLimits.BEFORE_CONFIGURATION }, { false }, Fixed(answer))
        return "127.0.0.1:${(server.listen("127.0.0.1:0").localAddress() as InetSocketAddress).port}"
    }

    /** Exit status: 0 if all requests were served. */
    fun run(): Int {
        val endpoint = serve(::endpointAnswer)
        val store = serve { storeAnswer(it, endpoint) }
        val bounds = TrafficBounds(1.seconds, 2.seconds, 5.seconds, 0.9, 50.0, 10.seconds, 5.seconds)
        val place =
            RouterPlace(
                "rehearsal",
                FailureDomainId("here"),
                "127.0.0.1:0",
                "127.0.0.1:0",
                store,
                "127.0.0.1:0",
                bounds,
            )
        val gateway = Gateway.start(place)
        val port = gateway.callerPort
        val served = (1..TRIES).any { served(port, STREAM).also { if (!it) TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS) } }
        val all = served && (1..REPEATS).all { served(port, STREAM) && served(port, WHOLE) }
        gateway.stop()
        return if (all) 0 else 1
    }

    private fun endpointAnswer(request: CallerRequest): Triple<Int, List<Pair<String, String>>, String> {
        val streamed = request.path.startsWith(WireSamples.STREAM_PATH)
        val headers = WireSamples.answerHeaders(REQUEST_ID, confidence = if (streamed) 90 else null)
        return Triple(OK, headers, if (streamed) EVENTS else "whole")
    }

    private fun storeAnswer(
        request: CallerRequest,
        endpoint: String,
    ) = Triple(OK, listOf("Content-Type" to "application/json"), WireSamples.storeBody(request.path, listOf(endpoint)))

    private fun served(
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
        const val WHOLE = "${WireSamples.WHOLE_PATH}a"
        const val EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        const val REQUEST_ID = "r-1"
        const val OK = 200
        const val TRIES = 50
        const val REPEATS = 20
        const val PAUSE_MILLIS = 50L
    }
}
