package dev.almondhaven.decision.session

import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** A named secret that signs session tokens. */
public class SessionSigningKey(
    public val id: String,
    secret: ByteArray,
) {
    private val prototype: Mac

    init {
        require(ID_PATTERN.matches(id)) { "a key id has letters, digits and dashes, got '$id'" }
        require(
            secret.size >= MINIMUM_SECRET_BYTES,
        ) { "key '$id' has ${secret.size} bytes, below $MINIMUM_SECRET_BYTES" }
        prototype = Mac.getInstance(ALGORITHM).apply { init(SecretKeySpec(secret, ALGORITHM)) }
    }

    /** The signature of [text]. Safe to call from any thread. */
    internal fun sign(text: String): ByteArray = (prototype.clone() as Mac).doFinal(text.toByteArray())

    override fun toString(): String = "SessionSigningKey($id)"

    public companion object {
        /** Shortest secret, in bytes. */
        public const val MINIMUM_SECRET_BYTES: Int = 32
        private const val ALGORITHM = "HmacSHA256"
        private val ID_PATTERN = Regex("[A-Za-z0-9-]+")
    }
}
