package dev.almondhaven.decision.session

import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** A secret with an id, for signing session tokens. */
public class SessionSigningKey(
    public val id: String,
    secret: ByteArray,
) {
    private val initialisedMac: Mac

    init {
        require(ID_PATTERN.matches(id)) { "a key id consists of letters, digits and dashes, got '$id'" }
        require(
            secret.size >= MINIMUM_SECRET_BYTES,
        ) { "the secret of key '$id' has ${secret.size} bytes, fewer than $MINIMUM_SECRET_BYTES" }
        initialisedMac = Mac.getInstance(ALGORITHM).apply { init(SecretKeySpec(secret, ALGORITHM)) }
    }

    /** The signature of [text]. Safe to call from any thread. */
    internal fun sign(text: String): ByteArray = (initialisedMac.clone() as Mac).doFinal(text.toByteArray())

    override fun toString(): String = "SessionSigningKey($id)"

    public companion object {
        /** Minimum length of a secret, in bytes. */
        public const val MINIMUM_SECRET_BYTES: Int = 32
        private const val ALGORITHM = "HmacSHA256"
        private val ID_PATTERN = Regex("[A-Za-z0-9-]+")
    }
}
