package dev.almondhaven.peer

import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.util.HexFormat
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** A secret that all routers and operators' commands share. */
@Serializable
@JvmInline
public value class PeerKey(
    public val secret: String,
) {
    override fun toString(): String = "***"

    public companion object {
        /** Shortest secret that settings accept, in characters. */
        public const val MINIMUM_LENGTH: Int = 16
    }
}

/**
 * Signs and verifies messages with HMAC-SHA-256. The first key signs; every key verifies, so keys are rotated by adding
 * the new one last everywhere, then moving it first everywhere, then dropping the old one.
 *
 * An answer is signed together with its request's signature, so that it can't be given to another request. A request
 * that is sent again verifies again: handlers have to be idempotent.
 */
public class PeerKeyRing(
    private val keys: List<PeerKey>,
) {
    init {
        require(keys.isNotEmpty()) { "a peer key ring needs at least one key" }
    }

    /** Signature of a request with [body] to [path]. */
    public fun signRequest(
        path: String,
        body: String,
    ): String = sign(keys.first(), path, body)

    /** Whether [signature] is that of a request with [body] to [path]. */
    public fun verifiesRequest(
        signature: String,
        path: String,
        body: String,
    ): Boolean = keys.any { matches(signature, sign(it, path, body)) }

    /** Signature of an answer with [body] to the request signed with [requestSignature]. */
    public fun signAnswer(
        requestSignature: String,
        body: String,
    ): String = sign(keys.first(), requestSignature, body)

    /** Whether [signature] is that of an answer with [body] to the request signed with [requestSignature]. */
    public fun verifiesAnswer(
        signature: String,
        requestSignature: String,
        body: String,
    ): Boolean = keys.any { matches(signature, sign(it, requestSignature, body)) }

    private fun sign(
        key: PeerKey,
        context: String,
        body: String,
    ): String {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(SecretKeySpec(key.secret.toByteArray(), ALGORITHM))
        mac.update(context.toByteArray())
        mac.update(SEPARATOR)
        return HexFormat.of().formatHex(mac.doFinal(body.toByteArray()))
    }

    private fun matches(
        given: String,
        expected: String,
    ): Boolean = MessageDigest.isEqual(given.toByteArray(), expected.toByteArray())

    private companion object {
        const val ALGORITHM = "HmacSHA256"
        const val SEPARATOR: Byte = 0
    }
}
