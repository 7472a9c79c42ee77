package dev.almondhaven.router.peer

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.util.BlockingTaskExecutor
import com.linecorp.armeria.common.util.EventLoopGroups
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.encoding.EncodingService
import dev.almondhaven.model.LogEvent
import dev.almondhaven.peer.PeerKeyRing
import dev.almondhaven.peer.PeerProtocol
import io.github.oshai.kotlinlogging.KotlinLogging
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** Serves the peer protocol on dedicated threads, so that load from callers doesn't delay messages between routers. */
internal class PeerServer(
    address: InetSocketAddress,
    private val keys: PeerKeyRing,
    private val handlers: PeerHandlers,
) : AutoCloseable {
    private val workers = EventLoopGroups.newEventLoopGroup(1, "peer-server")
    private val handlerExecutor = BlockingTaskExecutor.builder().numThreads(HANDLER_THREADS).build()
    private val server =
        Server
            .builder()
            .http(address)
            .workerGroup(workers, false)
            .blockingTaskExecutor(handlerExecutor, false)
            .maxRequestLength(MAX_REQUEST_BYTES)
            .gracefulShutdownTimeoutMillis(0, 0)
            .decorator(
                EncodingService.builder().minBytesToForceChunkedEncoding(MIN_COMPRESSED_RESPONSE_BYTES).newDecorator(),
            ).service(
                "prefix:${PeerProtocol.PATH_PREFIX}",
                HttpService {
                    context,
                    request,
                    ->
                    serve(context.mappedPath(), request)
                },
            ).build()

    /** The port on which the server listens; available once it is started. */
    val port: Int get() = server.activeLocalPort()

    fun start() {
        server.start().join()
    }

    private fun serve(
        path: String,
        request: HttpRequest,
    ): HttpResponse = HttpResponse.of(request.aggregate().thenApplyAsync({ respond(path, it) }, handlerExecutor))

    private fun respond(
        mappedPath: String,
        request: AggregatedHttpRequest,
    ): HttpResponse {
        val name = mappedPath.removePrefix("/")
        val signature = request.headers().get(PeerProtocol.SIGNATURE_HEADER).orEmpty()
        val body = request.contentUtf8()
        val handler = handlers.find(name)
        return when {
            !keys.verifiesRequest(
                signature,
                PeerProtocol.PATH_PREFIX + name,
                body,
            ) -> reject(name, HttpStatus.UNAUTHORIZED)

            handler == null -> reject(name, HttpStatus.NOT_FOUND)

            request.method() !in ALLOWED_METHODS -> reject(name, HttpStatus.METHOD_NOT_ALLOWED)

            else -> handle(handler, name, signature, body)
        }
    }

    private fun handle(
        handler: PeerHandler,
        name: String,
        signature: String,
        body: String,
    ): HttpResponse =
        try {
            val answer = handler.handle(body)
            val headers =
                ResponseHeaders
                    .builder(HttpStatus.OK)
                    .contentType(MediaType.JSON)
                    .set(PeerProtocol.SIGNATURE_HEADER, keys.signAnswer(signature, answer))
                    .build()
            HttpResponse.of(headers, HttpData.ofUtf8(answer))
        } catch (exception: IllegalArgumentException) {
            LogEvent.PEER_MESSAGE_BAD.log(logger, exception) { "path=$name" }
            HttpResponse.of(HttpStatus.BAD_REQUEST)
        }

    private fun reject(
        name: String,
        status: HttpStatus,
    ): HttpResponse {
        LogEvent.PEER_MESSAGE_REFUSED.log(logger) { "path=$name status=${status.code()}" }
        return HttpResponse.of(status)
    }

    override fun close() {
        server.stop().join()
        workers.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        handlerExecutor.shutdown()
    }

    private companion object {
        const val HANDLER_THREADS = 4
        const val MAX_REQUEST_BYTES = 4_000_000L
        const val MIN_COMPRESSED_RESPONSE_BYTES = 4_096
        val ALLOWED_METHODS = setOf(HttpMethod.GET, HttpMethod.POST)
    }
}
