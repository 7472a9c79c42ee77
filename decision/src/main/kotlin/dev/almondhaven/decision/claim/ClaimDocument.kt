package dev.almondhaven.decision.claim

import dev.almondhaven.model.Outcome
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The document that an operation produced, and the verdict on that operation. */
public data class AppliedOperation(
    public val document: ClaimDocument,
    public val verdict: ClaimVerdict,
)

/**
 * One shard of the claims, stored as the value of one object on the platform.
 *
 * @property expired digest prefixes of keys without a timestamp that were claimed before the retention window.
 */
@Serializable
public data class ClaimDocument(
    @SerialName("k") public val records: Map<Digest, ClaimRecord> = emptyMap(),
    @SerialName("x") public val expired: Set<String> = emptySet(),
) {
    /** Applies [operation] to this document, whose encoded size is [bytes]. */
    public fun apply(
        operation: ClaimOperation,
        bytes: Int,
    ): AppliedOperation =
        when (operation) {
            is ClaimOperation.Claim -> claim(operation, bytes)
            is ClaimOperation.Finish -> finish(operation, bytes)
            is ClaimOperation.Void -> void(operation)
        }

    private fun claim(
        operation: ClaimOperation.Claim,
        bytes: Int,
    ): AppliedOperation {
        val existing = records[operation.key]
        return when {
            existing == null && fingerprint(operation.key) in expired -> {
                unchanged(ClaimVerdict.Expired)
            }

            existing == null && bytes > MAX_SHARD_BYTES_FOR_CLAIMS -> {
                unchanged(ClaimVerdict.Full)
            }

            existing == null || canBeReplaced(existing, operation) -> {
                with(operation.key, operation.record(), ClaimVerdict.Granted)
            }

            existing.attempt == operation.attempt && existing.state == ClaimState.CLAIMED -> {
                unchanged(ClaimVerdict.Granted)
            }

            else -> {
                unchanged(ClaimVerdict.Held(existing))
            }
        }
    }

    private fun canBeReplaced(
        existing: ClaimRecord,
        operation: ClaimOperation.Claim,
    ): Boolean =
        when (existing.state) {
            ClaimState.VOID -> arrivedLater(existing, operation)
            ClaimState.CLAIMED -> existing.attempt in operation.voided && arrivedLater(existing, operation)
            ClaimState.FINISHED -> false
        }

    /**
     * Whether the new request certainly arrived after the void one. The void one was answered with `not_run`, which
     * also covers every request under the key that arrived before it, so none of those may claim the key any more.
     */
    private fun arrivedLater(
        existing: ClaimRecord,
        operation: ClaimOperation.Claim,
    ): Boolean = operation.claimedAt > existing.claimedAt + 2 * ARRIVAL_TOLERANCE_MILLIS

    private fun ClaimOperation.Claim.record() = ClaimRecord(requestDigest, attempt, claimedAt)

    private fun finish(
        operation: ClaimOperation.Finish,
        bytes: Int,
    ): AppliedOperation {
        val existing = claimedBy(operation) ?: return unchanged(ClaimVerdict.Recorded)
        val response =
            operation.response?.takeIf {
                it.body.length <= MAX_RESPONSE_CHARACTERS &&
                    bytes <= MAX_SHARD_BYTES_FOR_RESPONSES
            }
        val finished = existing.copy(state = ClaimState.FINISHED, outcome = operation.outcome, response = response)
        return with(operation.key, finished, ClaimVerdict.Recorded)
    }

    private fun void(operation: ClaimOperation.Void): AppliedOperation {
        val existing = claimedBy(operation) ?: return unchanged(ClaimVerdict.Recorded)
        return with(
            operation.key,
            existing.copy(state = ClaimState.VOID, outcome = Outcome.NOT_RUN),
            ClaimVerdict.Recorded,
        )
    }

    private fun claimedBy(operation: ClaimOperation): ClaimRecord? =
        records[operation.key]?.takeIf { it.attempt == operation.attempt && it.state == ClaimState.CLAIMED }

    /** Replaces claims from before the retention window at [nowMillis] by the fingerprints of their keys. */
    public fun compacted(nowMillis: Long): ClaimDocument {
        val oldest = nowMillis - ClaimPlacement.RETENTION.inWholeMilliseconds
        val old = records.filterValues { it.claimedAt < oldest }
        if (old.isEmpty()) return this
        return ClaimDocument(records - old.keys, expired + old.keys.map { fingerprint(it) })
    }

    private fun with(
        key: Digest,
        record: ClaimRecord,
        verdict: ClaimVerdict,
    ) = AppliedOperation(copy(records = records + (key to record)), verdict)

    private fun unchanged(verdict: ClaimVerdict) = AppliedOperation(this, verdict)

    /** The JSON text that the platform stores. */
    public fun encode(): String = json.encodeToString(serializer(), this)

    public companion object {
        /** Shards above this size accept no new keys; the space above it is for the results of claims they hold. */
        public const val MAX_SHARD_BYTES_FOR_CLAIMS: Int = 800_000

        /** Shards above this size record no further responses. */
        public const val MAX_SHARD_BYTES_FOR_RESPONSES: Int = 500_000

        /** Largest difference of routers' clocks for which the arrival order of two requests under one key is known. */
        public const val ARRIVAL_TOLERANCE_MILLIS: Long = 500

        /** Longest Base64 body of a response that is recorded. */
        public const val MAX_RESPONSE_CHARACTERS: Int = 1_024
        private const val FINGERPRINT_CHARACTERS = 11
        private val json = Json { ignoreUnknownKeys = true }

        /** Decodes the JSON text that the platform stores. */
        public fun decode(text: String): ClaimDocument = json.decodeFromString(serializer(), text)

        private fun fingerprint(key: Digest) = key.value.take(FINGERPRINT_CHARACTERS)
    }
}
