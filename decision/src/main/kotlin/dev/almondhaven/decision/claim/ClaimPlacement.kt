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

/** Where the claim of a key is stored. The shard depends on the key alone, so every router picks the same one. */
public sealed interface ClaimPlacement {
    /** If the key is claimed, its claim is in [shard]. */
    public data class InShard(
        public val shard: ClaimShard,
    ) : ClaimPlacement

    /** The key's timestamp lies before the retention window, so it is no longer known whether its call ran. */
    public data object Expired : ClaimPlacement

    /** The key's timestamp is ahead of the router's clock by more than [CLOCK_TOLERANCE]. */
    public data class InFuture(
        /** Whether no router whose clock is within the tolerance can have accepted the key yet. */
        public val neverAccepted: Boolean,
    ) : ClaimPlacement

    public companion object {
        /** How long a claim is kept. */
        public val RETENTION: Duration = 24.hours

        /** How far the wall clocks of callers and routers may differ. */
        public val CLOCK_TOLERANCE: Duration = 5.minutes

        /** How long a dated shard is kept after its keys expire; must exceed any difference of routers' clocks. */
        public val DELETION_MARGIN: Duration = 1.hours

        /** Length of a period. Keys with timestamps in one period share its shards, so their writes can be batched. */
        public val PERIOD: Duration = 2.seconds

        /** Number of shards in each period. */
        public const val SHARDS_PER_PERIOD: Int = 4

        /** Number of shards for keys without a timestamp. */
        public const val UNDATED_SHARDS: Int = 64

        /** Name prefix of the shards for keys with a timestamp; the names sort by time. */
        public const val DATED_PREFIX: String = "claims/dated/"
        private const val UNDATED_PREFIX = "claims/undated/"
        private const val PERIOD_DIGITS = 12
        private const val HEXADECIMAL_RADIX = 16
        private const val UUID_TIME_DIGITS = 12
        private val uuidVersion7 = Regex("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}")
        private val hash = Hashing.farmHashFingerprint64()

        /** The placement of [key] at wall-clock time [nowMillis]. */
        public fun of(
            key: ClaimKey,
            nowMillis: Long,
        ): ClaimPlacement {
            val slot = hash.hashUnencodedChars(key.digest.value).asLong()
            val time =
                uuidMillisOrNull(key.text) ?: return InShard(ClaimShard("$UNDATED_PREFIX${slot.mod(UNDATED_SHARDS)}"))
            return when {
                time < nowMillis - RETENTION.inWholeMilliseconds -> Expired
                time > nowMillis + CLOCK_TOLERANCE.inWholeMilliseconds -> inFuture(time - nowMillis)
                else -> InShard(datedShard(time, slot.mod(SHARDS_PER_PERIOD)))
            }
        }

        /** Whether the keys of [shard] expired so long ago that no router, whatever its clock, still accepts one. */
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

        /** The timestamp of a version 7 UUID in epoch milliseconds, or null for any other text. */
        public fun uuidMillisOrNull(text: String): Long? {
            val lower = text.lowercase()
            if (!uuidVersion7.matches(lower)) return null
            return lower.replace("-", "").take(UUID_TIME_DIGITS).toLong(HEXADECIMAL_RADIX)
        }

        private fun inFuture(aheadMillis: Long) =
            InFuture(neverAccepted = aheadMillis > 2 * CLOCK_TOLERANCE.inWholeMilliseconds)

        private fun datedShard(
            time: Long,
            slot: Int,
        ): ClaimShard {
            val period = "${time / PERIOD.inWholeMilliseconds}".padStart(PERIOD_DIGITS, '0')
            return ClaimShard("$DATED_PREFIX$period/$slot")
        }
    }
}
