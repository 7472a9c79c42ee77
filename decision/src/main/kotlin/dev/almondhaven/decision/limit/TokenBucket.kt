package dev.almondhaven.decision.limit

import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * A rate limit in tokens. A request reserves an estimate when it starts and settles the difference when its true use is
 * known; the level may fall below zero by what was underestimated, which later requests then wait for. Any thread may
 * [reserve] and [settle]; one thread calls [refill].
 */
public class TokenBucket(
    perMinute: Double,
    now: Long,
) {
    @Volatile
    private var perSecond = perMinute / SECONDS_PER_MINUTE
    private val level = AtomicLong((perSecond * BURST_SECONDS).toLong())
    private var filledAt = now
    private var fraction = 0.0

    /** Tokens that can be used now; negative while the bucket is overdrawn. */
    public val available: Long get() = level.get()

    /** Adds what [perMinute] gives since the last call. */
    public fun refill(
        perMinute: Double,
        now: Long,
    ) {
        perSecond = perMinute / SECONDS_PER_MINUTE
        val earned = fraction + (now - filledAt).nanoseconds.toDouble(DurationUnit.SECONDS) * perSecond
        fraction = earned - earned.toLong()
        filledAt = now
        level.updateAndGet { minOf(it + earned.toLong(), (perSecond * BURST_SECONDS).toLong()) }
    }

    /** Takes [tokens] if any are left and returns null; otherwise takes none and returns the time until some are. */
    public fun reserve(tokens: Long): Duration? {
        while (true) {
            val held = level.get()
            if (held <= 0) return if (perSecond > 0) ((1 - held) / perSecond).seconds else LONGEST_WAIT
            if (level.compareAndSet(held, held - tokens)) return null
        }
    }

    /** Corrects a reservation of [reserved] tokens of which [used] were. */
    public fun settle(
        reserved: Long,
        used: Long,
    ) {
        level.addAndGet(reserved - used)
    }

    private companion object {
        const val SECONDS_PER_MINUTE = 60.0

        /** Seconds of the rate that may be used at once. */
        const val BURST_SECONDS = 10.0
        val LONGEST_WAIT = 60.seconds
    }
}
