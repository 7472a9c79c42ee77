package dev.almondhaven.decision.limit

import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * A rate limit in tokens. A request reserves its estimated tokens when it starts and settles the difference when its
 * actual usage is known. The level falls below zero by the amount that was underestimated, and later requests wait
 * until that is refilled. Any thread may call [reserve] and [settle]; only one thread may call [refill].
 */
public class TokenBucket(
    perMinute: Double,
    now: Long,
) {
    @Volatile
    private var perSecond = perMinute / SECONDS_PER_MINUTE
    private val level = AtomicLong((perSecond * BURST_SECONDS).toLong())
    private var refilledAt = now
    private var fractionalTokens = 0.0

    /** Tokens available now; negative while the bucket is overdrawn. */
    public val available: Long get() = level.get()

    /** Adds the tokens accrued at [perMinute] since the last call. */
    public fun refill(
        perMinute: Double,
        now: Long,
    ) {
        perSecond = perMinute / SECONDS_PER_MINUTE
        val accrued = fractionalTokens + (now - refilledAt).nanoseconds.toDouble(DurationUnit.SECONDS) * perSecond
        fractionalTokens = accrued - accrued.toLong()
        refilledAt = now
        level.updateAndGet { minOf(it + accrued.toLong(), (perSecond * BURST_SECONDS).toLong()) }
    }

    /** Takes [tokens] and returns null if the level is positive; otherwise returns the time until it is again. */
    public fun reserve(tokens: Long): Duration? {
        while (true) {
            val available = level.get()
            if (available <= 0) return if (perSecond > 0) ((1 - available) / perSecond).seconds else MAX_WAIT
            if (level.compareAndSet(available, available - tokens)) return null
        }
    }

    /** Corrects a reservation of [reserved] tokens when [used] tokens were consumed. */
    public fun settle(
        reserved: Long,
        used: Long,
    ) {
        level.addAndGet(reserved - used)
    }

    private companion object {
        const val SECONDS_PER_MINUTE = 60.0

        /** Capacity of the bucket, in seconds of its rate. */
        const val BURST_SECONDS = 10.0
        val MAX_WAIT = 60.seconds
    }
}
