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

/** Listens for messages of other routers, on threads of its own so that callers' load doesn't delay them. */
internal class PeerServer(
    address: InetSocketAddress,
    private val keys: PeerKeyRing,
    private val handlers: PeerHandlers,
) : AutoCloseable {
    private val workers = EventLoopGroups.newEventLoopGroup(1, "peer-server")
    private val executor = BlockingTaskExecutor.builder().numThreads(HANDLER_THREADS).build()
    private val server =
        Server
            .builder()
            .http(address)
            .workerGroup(workers, false)
            .blockingTaskExecutor(executor, false)
            .maxRequestLength(MAXIMUM_MESSAGE_BYTES)
            .gracefulShutdownTimeoutMillis(0, 0)
            .decorator(EncodingService.builder().minBytesToForceChunkedEncoding(COMPRESSED_FROM_BYTES).newDecorator())
            .service(
                "prefix:${PeerProtocol.PATH_PREFIX}",
                HttpService {
                    context,
                    request,
                    ->
                    serve(context.mappedPath(), request)
                },
            ).build()

    /** Port it listens on, once started. */
    val port: Int get() = server.activeLocalPort()

    fun start() {
        server.start().join()
    }

    private fun serve(
        path: String,
        request: HttpRequest,
    ): HttpResponse = HttpResponse.of(request.aggregate().thenApplyAsync({ answer(path, it) }, executor))

    private fun answer(
        mappedPath: String,
        request: AggregatedHttpRequest,
    ): HttpResponse {
        val name = mappedPath.removePrefix("/")
        val signature = request.headers().get(PeerProtocol.SIGNATURE_HEADER).orEmpty()
        val body = request.contentUtf8()
        val handler = handlers.of(name)
        return when {
            !keys.verifiesRequest(
                signature,
                PeerProtocol.PATH_PREFIX + name,
                body,
            ) -> refuse(name, HttpStatus.UNAUTHORIZED)

            handler == null -> refuse(name, HttpStatus.NOT_FOUND)

            request.method() !in METHODS -> refuse(name, HttpStatus.METHOD_NOT_ALLOWED)

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

    private fun refuse(
        name: String,
        status: HttpStatus,
    ): HttpResponse {
        LogEvent.PEER_MESSAGE_REFUSED.log(logger) { "path=$name status=${status.code()}" }
        return HttpResponse.of(status)
    }

    override fun close() {
        server.stop().join()
        workers.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        executor.shutdown()
    }

    private companion object {
        const val HANDLER_THREADS = 4
        const val MAXIMUM_MESSAGE_BYTES = 4_000_000L
        const val COMPRESSED_FROM_BYTES = 4_096
        val METHODS = setOf(HttpMethod.GET, HttpMethod.POST)
    }
}
