package dev.almondhaven.decision.claim

import dev.almondhaven.model.Outcome
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** A document after an operation, with what came of it. */
public data class AppliedOperation(
    public val document: ClaimDocument,
    public val verdict: ClaimVerdict,
)

/**
 * A shard of the claims: the value of one platform object.
 *
 * @property expired prefixes of the digests of undated keys that were claimed before the retention window.
 */
@Serializable
public data class ClaimDocument(
    @SerialName("k") public val records: Map<Digest, ClaimRecord> = emptyMap(),
    @SerialName("x") public val expired: Set<String> = emptySet(),
) {
    /** This document with [operation] applied. [bytes] is the size of this document's text. */
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
        val held = records[operation.key]
        return when {
            held == null && fingerprint(operation.key) in expired -> unchanged(ClaimVerdict.Expired)
            held == null && bytes > MAX_SHARD_BYTES_FOR_CLAIMS -> unchanged(ClaimVerdict.Full)
            held == null || isFree(held, operation) -> with(operation.key, operation.record(), ClaimVerdict.Granted)
            held.attempt == operation.attempt && held.state == ClaimState.CLAIMED -> unchanged(ClaimVerdict.Granted)
            else -> unchanged(ClaimVerdict.Held(held))
        }
    }

    private fun isFree(
        held: ClaimRecord,
        operation: ClaimOperation.Claim,
    ): Boolean =
        when (held.state) {
            ClaimState.VOID -> arrivedLater(held, operation)
            ClaimState.CLAIMED -> held.attempt in operation.voided && arrivedLater(held, operation)
            ClaimState.FINISHED -> false
        }

    /** The caller of a void attempt was told `not_run`, which also speaks for the requests that came before it. */
    private fun arrivedLater(
        held: ClaimRecord,
        operation: ClaimOperation.Claim,
    ): Boolean = operation.claimedAt > held.claimedAt + 2 * ARRIVAL_TOLERANCE_MILLIS

    private fun ClaimOperation.Claim.record() = ClaimRecord(requestDigest, attempt, claimedAt)

    private fun finish(
        operation: ClaimOperation.Finish,
        bytes: Int,
    ): AppliedOperation {
        val held = claimedBy(operation) ?: return unchanged(ClaimVerdict.Recorded)
        val response =
            operation.response?.takeIf {
                it.body.length <= MAX_RESPONSE_CHARACTERS &&
                    bytes <= MAX_SHARD_BYTES_FOR_RESPONSES
            }
        val finished = held.copy(state = ClaimState.FINISHED, outcome = operation.outcome, response = response)
        return with(operation.key, finished, ClaimVerdict.Recorded)
    }

    private fun void(operation: ClaimOperation.Void): AppliedOperation {
        val held = claimedBy(operation) ?: return unchanged(ClaimVerdict.Recorded)
        return with(
            operation.key,
            held.copy(state = ClaimState.VOID, outcome = Outcome.NOT_RUN),
            ClaimVerdict.Recorded,
        )
    }

    private fun claimedBy(operation: ClaimOperation): ClaimRecord? =
        records[operation.key]?.takeIf { it.attempt == operation.attempt && it.state == ClaimState.CLAIMED }

    /** Shrinks undated claims from before the retention window at [nowMillis] to fingerprints. */
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

    /** The text that the platform holds. */
    public fun encode(): String = json.encodeToString(serializer(), this)

    public companion object {
        /** Shards beyond this size take no further keys; the rest is for the ends of those they have. */
        public const val MAX_SHARD_BYTES_FOR_CLAIMS: Int = 800_000

        /** Shards beyond this size keep no further answers. */
        public const val MAX_SHARD_BYTES_FOR_RESPONSES: Int = 500_000

        /** How far routers' clocks may differ for the order of arrival of two requests under one key to be known. */
        public const val ARRIVAL_TOLERANCE_MILLIS: Long = 500

        /** Longest Base64 text of an answer that is kept. */
        public const val MAX_RESPONSE_CHARACTERS: Int = 1_024
        private const val FINGERPRINT_CHARACTERS = 11
        private val json = Json { ignoreUnknownKeys = true }

        /** Decodes the text that the platform holds. */
        public fun decode(text: String): ClaimDocument = json.decodeFromString(serializer(), text)

        private fun fingerprint(key: Digest) = key.value.take(FINGERPRINT_CHARACTERS)
    }
}
