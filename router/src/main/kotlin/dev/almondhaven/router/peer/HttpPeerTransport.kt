package dev.almondhaven.router.peer

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.client.encoding.DecodingClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.util.EventLoopGroups
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.peer.PeerKeyRing
import dev.almondhaven.peer.PeerProtocol
import dev.almondhaven.store.ResponseHeadGuard
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Implements the peer protocol over HTTP/1.1 with a dedicated event loop. A message that times out closes its
 * connection, so a connection that no longer responds is not reused.
 */
internal class HttpPeerTransport(
    private val keys: PeerKeyRing,
    private val timeout: Duration,
) : PeerTransport,
    AutoCloseable {
    private val workers = EventLoopGroups.newEventLoopGroup(1, "peer-client")
    private val factory =
        ResponseHeadGuard
            .install(ClientFactory.builder())
            .workerGroup(workers, false)
            .connectTimeoutMillis(timeout.inWholeMilliseconds)
            .idleTimeoutMillis(CONNECTION_IDLE_TIMEOUT_MILLIS)
            .build()
    private val clients = ConcurrentHashMap<String, WebClient>()

    override fun post(
        to: Member,
        path: String,
        body: String,
    ): CompletableFuture<Either<PeerError, String>> {
        val fullPath = PeerProtocol.PATH_PREFIX + path
        val signature = keys.signRequest(fullPath, body)
        val headers =
            RequestHeaders
                .builder(HttpMethod.POST, fullPath)
                .contentType(MediaType.JSON)
                .set(PeerProtocol.SIGNATURE_HEADER, signature)
                .build()
        return clientFor(to.peerAddress)
            .execute(headers, body)
            .aggregate()
            .handle { response, cause -> if (cause != null) toPeerError(cause).left() else verify(signature, response) }
    }

    private fun verify(
        requestSignature: String,
        response: AggregatedHttpResponse,
    ): Either<PeerError, String> {
        if (response.status() != HttpStatus.OK) return PeerError.Rejected(response.status().code()).left()
        val body = response.contentUtf8()
        val signature = response.headers().get(PeerProtocol.SIGNATURE_HEADER).orEmpty()
        val isAuthentic = keys.verifiesAnswer(signature, requestSignature, body)
        return if (isAuthentic) body.right() else PeerError.NoAnswer("the response has an invalid signature").left()
    }

    private fun toPeerError(failure: Throwable): PeerError {
        val cause = if (failure is CompletionException) failure.cause ?: failure else failure
        return if (cause is UnprocessedRequestException) PeerError.NotSent("$cause") else PeerError.NoAnswer("$cause")
    }

    private fun clientFor(address: String): WebClient = clients.computeIfAbsent(address, ::buildClient)

    private fun buildClient(address: String): WebClient =
        WebClient
            .builder("h1c://$address")
            .factory(factory)
            .responseTimeoutMillis(timeout.inWholeMilliseconds)
            .maxResponseLength(MAX_RESPONSE_BYTES)
            .decorator(DecodingClient.newDecorator())
            .build()

    override fun close() {
        factory.closeAsync()
        workers.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    private companion object {
        const val MAX_RESPONSE_BYTES = 4_000_000L
        const val CONNECTION_IDLE_TIMEOUT_MILLIS = 15_000L
    }
}
