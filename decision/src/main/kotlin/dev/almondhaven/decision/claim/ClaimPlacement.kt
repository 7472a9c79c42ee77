package dev.almondhaven.decision.claim

import com.google.common.hash.Hashing
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Name of the platform object that holds a shard of the claims. */
@Serializable
@JvmInline
public value class ClaimShard(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Where a key's claim is kept, which depends on nothing but the key. */
public sealed interface ClaimPlacement {
    /** The key's claim is in [shard] or nowhere. */
    public data class InShard(
        public val shard: ClaimShard,
    ) : ClaimPlacement

    /** The key's time lies before the retention window: whether it ran is no longer known. */
    public data object Expired : ClaimPlacement

    /** The key's time lies in the future by more than clocks may differ. */
    public data class InFuture(
        /** Whether no router whose clock is within the tolerance can have accepted the key. */
        public val neverAccepted: Boolean,
    ) : ClaimPlacement

    public companion object {
        /** How long a claim is remembered. */
        public val RETENTION: Duration = 24.hours

        /** How far the wall clocks of callers and routers may differ. */
        public val CLOCK_TOLERANCE: Duration = 5.minutes

        /** How long a dated shard outlives the window of its keys; must exceed any difference of routers' clocks. */
        public val DELETION_MARGIN: Duration = 1.hours

        /** Keys whose times fall in one period share their shards, so that their writes can be batched. */
        public val PERIOD: Duration = 2.seconds

        /** Shards of one period. */
        public const val SHARDS_PER_PERIOD: Int = 4

        /** Shards of the keys that carry no time. */
        public const val UNDATED_SHARDS: Int = 64

        /** Prefix of all dated shards; their names sort by time. */
        public const val DATED_PREFIX: String = "claims/dated/"
        private const val UNDATED_PREFIX = "claims/undated/"
        private const val PERIOD_DIGITS = 12
        private const val HEXADECIMAL = 16
        private const val TIME_DIGITS = 12
        private val uuidVersion7 = Regex("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}")
        private val hash = Hashing.farmHashFingerprint64()

        /** Where the claim of [key] is kept at wall-clock time [nowMillis]. */
        public fun of(
            key: ClaimKey,
            nowMillis: Long,
        ): ClaimPlacement {
            val slot = hash.hashUnencodedChars(key.digest.value).asLong()
            val time =
                uuidMillisOrNull(key.text) ?: return InShard(ClaimShard("$UNDATED_PREFIX${slot.mod(UNDATED_SHARDS)}"))
            return when {
                time < nowMillis - RETENTION.inWholeMilliseconds -> Expired
                time > nowMillis + CLOCK_TOLERANCE.inWholeMilliseconds -> ahead(time - nowMillis)
                else -> InShard(datedShard(time, slot.mod(SHARDS_PER_PERIOD)))
            }
        }

        /** Whether every key of [shard] expired so long ago that no router's clock can still accept one. */
        public fun isDeletable(
            shard: ClaimShard,
            nowMillis: Long,
        ): Boolean {
            if (!shard.value.startsWith(DATED_PREFIX)) return false
            val period =
                shard.value
                    .removePrefix(DATED_PREFIX)
                    .substringBefore('/')
                    .toLongOrNull() ?: return false
            val end = (period + 1) * PERIOD.inWholeMilliseconds
            return end + (RETENTION + DELETION_MARGIN).inWholeMilliseconds < nowMillis
        }

        /** Epoch milliseconds inside a version 7 UUID, or null for any other text. */
        public fun uuidMillisOrNull(text: String): Long? {
            val lower = text.lowercase()
            if (!uuidVersion7.matches(lower)) return null
            return lower.replace("-", "").take(TIME_DIGITS).toLong(HEXADECIMAL)
        }

        private fun ahead(millis: Long) = InFuture(neverAccepted = millis > 2 * CLOCK_TOLERANCE.inWholeMilliseconds)

        private fun datedShard(
            time: Long,
            slot: Int,
        ): ClaimShard {
            val period = "${time / PERIOD.inWholeMilliseconds}".padStart(PERIOD_DIGITS, '0')
            return ClaimShard("$DATED_PREFIX$period/$slot")
        }
    }
}
