package dev.almondhaven.decision.claim

import com.google.common.hash.Hashing
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.ServiceId
import kotlinx.serialization.Serializable
import java.util.Base64

/** The first 128 bits of a SHA-256 digest in URL-safe Base64. It identifies a claim without storing caller input. */
@Serializable
@JvmInline
public value class Digest(
    public val value: String,
) {
    override fun toString(): String = value

    public companion object {
        private const val DIGEST_BYTES = 16
        private val encoder = Base64.getUrlEncoder().withoutPadding()

        /** The digest of [bytes]. */
        public fun of(bytes: ByteArray): Digest =
            Digest(
                encoder.encodeToString(
                    Hashing
                        .sha256()
                        .hashBytes(bytes)
                        .asBytes()
                        .copyOf(DIGEST_BYTES),
                ),
            )
    }
}

/** An `Idempotency-Key` with its scope: the same text from another organisation or for another service is distinct. */
public data class ClaimKey(
    public val organisation: OrganisationId,
    public val service: ServiceId,
    public val text: String,
) {
    /** Identifies the key within its shard. */
    public val digest: Digest
        get() = Digest.of("${organisation.value}\u0000${service.value}\u0000$text".toByteArray())
}
