package dev.almondhaven.peer

import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.util.HexFormat
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** A secret shared by all routers and the operator commands. */
@Serializable
@JvmInline
public value class PeerKey(
    public val secret: String,
) {
    override fun toString(): String = "***"

    public companion object {
        /** Minimum length of a secret in the settings, in characters. */
        public const val MINIMUM_LENGTH: Int = 16
    }
}

/**
 * Signs and verifies messages with HMAC-SHA-256. The first key signs; every key verifies, so a key is rotated by adding
 * the new one last on every node, then moving it first on every node, then removing the old one.
 *
 * The signature of a response covers the signature of its request, so it is not valid for another request. Replayed
 * requests are not detected, so handlers must be idempotent.
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

    /** Signature of a response with [body] to the request signed with [requestSignature]. */
    public fun signAnswer(
        requestSignature: String,
        body: String,
    ): String = sign(keys.first(), requestSignature, body)

    /** Whether [signature] is that of a response with [body] to the request signed with [requestSignature]. */
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
        actual: String,
        expected: String,
    ): Boolean = MessageDigest.isEqual(actual.toByteArray(), expected.toByteArray())

    private companion object {
        const val ALGORITHM = "HmacSHA256"
        const val SEPARATOR: Byte = 0
    }
}
