package dev.almondhaven.operator

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.peer.ConfigurationHeld
import dev.almondhaven.peer.ConfigurationPush
import dev.almondhaven.peer.PeerKeyRing
import dev.almondhaven.peer.PeerProtocol
import dev.almondhaven.peer.PeerStatus
import dev.almondhaven.store.ResponseHeadGuard
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Client of the routers' peer protocol. A call gives null if there is no valid response within two seconds. */
internal class RouterClient(
    private val keys: PeerKeyRing,
) {
    /** Requests the status of the router at [address] (`ip:port`). */
    fun status(address: String): CompletableFuture<PeerStatus?> =
        call(address, HttpMethod.GET, PeerProtocol.STATUS, body = "", PeerStatus.serializer())

    /** Sends an accepted [catalogue] to the router at [address]. */
    fun push(
        address: String,
        catalogue: Catalogue,
    ): CompletableFuture<ConfigurationHeld?> {
        val body = PeerProtocol.json.encodeToString(ConfigurationPush.serializer(), ConfigurationPush(catalogue))
        return call(address, HttpMethod.POST, PeerProtocol.CONFIGURATION, body, ConfigurationHeld.serializer())
    }

    private fun <T> call(
        address: String,
        method: HttpMethod,
        path: String,
        body: String,
        serializer: KSerializer<T>,
    ): CompletableFuture<T?> {
        val fullPath = PeerProtocol.PATH_PREFIX + path
        val signature = keys.signRequest(fullPath, body)
        val headers =
            RequestHeaders
                .builder(method, fullPath)
                .contentType(MediaType.JSON)
                .set(PeerProtocol.SIGNATURE_HEADER, signature)
                .build()
        return client(address)
            .execute(headers, body)
            .aggregate()
            .handle { response, cause -> if (cause == null) read(response, signature, serializer) else null }
    }

    private fun client(address: String): WebClient =
        WebClient
            .builder("http://$address")
            .factory(ResponseHeadGuard.CLIENT_FACTORY)
            .responseTimeoutMillis(RESPONSE_TIMEOUT.inWholeMilliseconds)
            .maxResponseLength(MAX_RESPONSE_BYTES)
            .build()

    private fun <T> read(
        response: AggregatedHttpResponse,
        requestSignature: String,
        serializer: KSerializer<T>,
    ): T? {
        val text = response.contentUtf8()
        val signature = response.headers().get(PeerProtocol.SIGNATURE_HEADER).orEmpty()
        val authentic = keys.verifiesAnswer(signature, requestSignature, text)
        if (response.status() != HttpStatus.OK || !authentic) return null
        return try {
            PeerProtocol.json.decodeFromString(serializer, text)
        } catch (_: SerializationException) {
            null
        }
    }

    private companion object {
        val RESPONSE_TIMEOUT: Duration = 2.seconds
        const val MAX_RESPONSE_BYTES = 4_000_000L
    }
}
