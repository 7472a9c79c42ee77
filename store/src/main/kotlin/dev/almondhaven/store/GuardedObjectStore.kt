package dev.almondhaven.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.almondhaven.model.NanoClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/** The kinds of calls of the object API. */
public enum class CallKind { GET, PUT, DELETE, LIST, WATCH }

/** Hears of every call that reached the platform, or would have. */
public fun interface PlatformCallListener {
    /** [error] is null when the call was answered. */
    public fun onCall(
        kind: CallKind,
        error: PlatformError?,
        took: Duration,
    )
}

/**
 * What guards the calls of one process.
 *
 * @property deadline longest time for one operation with its retries.
 * @property maxAttempts most calls for one operation.
 */
public class CallGuards(
    public val readLimiter: ProcessRateLimiter,
    public val writeLimiter: ProcessRateLimiter,
    public val circuitBreaker: CircuitBreaker,
    public val deadline: Duration = 3.seconds,
    public val maxAttempts: Int = 3,
    public val backoff: FullJitter = FullJitter(50.milliseconds, 1.seconds),
    public val listener: PlatformCallListener = PlatformCallListener { _, _, _ -> },
)

/**
 * Makes another store's calls within a budget, behind a circuit breaker, and tries failed ones again until a deadline.
 *
 * A write whose answer was lost is settled by reading the object back: if it holds the very value, the write counts as
 * done, so a value ought to name its writer's attempt where equal values of two writers must be told apart. If the
 * object changed otherwise the write stays [PlatformError.NoAnswer], since it may have been overwritten.
 */
public class GuardedObjectStore(
    private val inner: ObjectStore,
    private val guards: CallGuards,
    private val clock: NanoClock,
    private val random: Random,
    private val sleep: (Duration) -> Unit = { Thread.sleep(it.inWholeMilliseconds) },
) : ObjectStore {
    override fun get(key: ObjectKey): Either<PlatformError, StoredObject?> = retried { getOnce(key) }

    override fun list(
        prefix: String,
        after: ObjectKey?,
        limit: Int,
    ): Either<PlatformError, ObjectPage> =
        retried { guarded(CallKind.LIST, guards.readLimiter) { inner.list(prefix, after, limit) } }

    // A watch takes too long to serve as the probe of an open circuit.
    override fun watch(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): Either<PlatformError, WatchResult> =
        if (guards.circuitBreaker.isOpen) {
            CIRCUIT_OPEN.left()
        } else {
            guarded(CallKind.WATCH, guards.readLimiter) { inner.watch(prefix, after, wait) }
        }

    override fun put(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
    ): Either<PlatformError, ObjectVersion> {
        var unsettled = false
        return retried {
            val result = guarded(CallKind.PUT, guards.writeLimiter) { inner.put(key, value, condition) }
            val error = result.leftOrNull()
            if (error is PlatformError.NoAnswer) unsettled = true
            val lost = unsettled && (error is PlatformError.NoAnswer || error == PlatformError.ConditionFailed)
            if (lost) settle(key, value, condition) else result
        }
    }

    override fun delete(
        key: ObjectKey,
        version: ObjectVersion,
    ): Either<PlatformError, Unit> {
        var unsettled = false
        return retried {
            val result = guarded(CallKind.DELETE, guards.writeLimiter) { inner.delete(key, version) }
            val error = result.leftOrNull()
            if (unsettled && error == PlatformError.ConditionFailed) return@retried settleDelete(key)
            if (error is PlatformError.NoAnswer) unsettled = true
            result
        }
    }

    /** Finds out by reading whether the write of [value] took effect. */
    private fun settle(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
    ): Either<PlatformError, ObjectVersion> {
        val current = getOnce(key).fold({ return PlatformError.NoAnswer("not read back: $it").left() }, { it })
        return when {
            current?.value == value -> current.version.right()
            stillHolds(condition, current) -> PlatformError.NoAnswer("not in effect yet").left()
            else -> PlatformError.NoAnswer("overwritten, or never in effect").left()
        }
    }

    private fun stillHolds(
        condition: WriteCondition,
        current: StoredObject?,
    ): Boolean =
        when (condition) {
            WriteCondition.Absent -> current == null
            is WriteCondition.AtVersion -> current?.version == condition.version
        }

    private fun settleDelete(key: ObjectKey): Either<PlatformError, Unit> {
        val current = getOnce(key).fold({ return PlatformError.NoAnswer("not read back: $it").left() }, { it })
        return if (current == null) Unit.right() else PlatformError.ConditionFailed.left()
    }

    private fun getOnce(key: ObjectKey): Either<PlatformError, StoredObject?> =
        guarded(CallKind.GET, guards.readLimiter) { inner.get(key) }

    private fun <T> retried(call: () -> Either<PlatformError, T>): Either<PlatformError, T> {
        val end = clock.nanos() + guards.deadline.inWholeNanoseconds
        var failures = 0
        var mayHaveTakenEffect = false
        while (true) {
            val result = call()
            val error = result.leftOrNull()
            if (error is PlatformError.NoAnswer) mayHaveTakenEffect = true
            val passing = error is PlatformError.NotSent || error is PlatformError.NoAnswer
            if (!passing) return result
            failures++
            val pause = guards.backoff.delay(failures, random)
            if (failures >= guards.maxAttempts || clock.nanos() + pause.inWholeNanoseconds - end >= 0) {
                return if (mayHaveTakenEffect) PlatformError.NoAnswer("$error").left() else result
            }
            sleep(pause)
        }
    }

    private fun <T> guarded(
        kind: CallKind,
        budget: ProcessRateLimiter,
        call: () -> Either<PlatformError, T>,
    ): Either<PlatformError, T> {
        waitFor(budget)?.let { return it.left() }
        if (!guards.circuitBreaker.tryAcquire()) return CIRCUIT_OPEN.left()
        val started = clock.nanos()
        val result = answered(call)
        val error = result.leftOrNull()
        report(error)
        guards.listener.onCall(kind, error, (clock.nanos() - started).nanoseconds)
        return result
    }

    private fun <T> answered(call: () -> Either<PlatformError, T>): Either<PlatformError, T> =
        try {
            call()
        } catch (exception: RuntimeException) {
            PlatformError.NoAnswer("$exception").left()
        }

    private fun report(error: PlatformError?) {
        if (error is PlatformError.NotSent || error is PlatformError.NoAnswer) {
            guards.circuitBreaker.recordFailure()
        } else if (guards.circuitBreaker.recordResponse()) {
            guards.readLimiter.drain()
            guards.writeLimiter.drain()
        }
    }

    /** Waits for a token within the deadline; the error if none comes. */
    private fun waitFor(budget: ProcessRateLimiter): PlatformError? {
        val end = clock.nanos() + guards.deadline.inWholeNanoseconds
        while (true) {
            val pause = budget.tryAcquire()
            if (pause == Duration.ZERO) return null
            if (clock.nanos() + pause.inWholeNanoseconds - end >= 0) return PlatformError.NotSent("call budget spent")
            sleep(maxOf(pause, SHORTEST_SLEEP))
        }
    }

    private companion object {
        val SHORTEST_SLEEP = 1.milliseconds
        val CIRCUIT_OPEN = PlatformError.NotSent("circuit open")
    }
}
