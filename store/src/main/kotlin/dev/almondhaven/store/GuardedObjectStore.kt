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

/** The operations of the object API. */
public enum class CallKind { GET, PUT, DELETE, LIST, WATCH }

/** Is notified of every call attempt that passed the rate limiter and the circuit breaker. */
public fun interface PlatformCallListener {
    /** Called after an attempt that took [duration]; [error] is null if it succeeded. */
    public fun onCall(
        kind: CallKind,
        error: PlatformError?,
        duration: Duration,
    )
}

/**
 * Rate limits, circuit breaker and retry settings for the platform calls of one process.
 *
 * @property deadline time after which no further attempt of an operation starts; also the longest wait of one attempt
 *   for the rate limiter.
 * @property maxAttempts maximum number of attempts per operation, the first one included.
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
 * Wraps another store with rate limits, a circuit breaker and retries until a deadline.
 *
 * After a write whose response was lost, the object is read back. If it holds exactly the written value, the write
 * counts as successful; where equal values of two writers must be distinguished, a value should therefore identify its
 * writer and attempt. If the object has changed in another way, the result stays [PlatformError.NoAnswer], since the
 * write may have taken effect and been overwritten.
 */
public class GuardedObjectStore(
    private val inner: ObjectStore,
    private val guards: CallGuards,
    private val clock: NanoClock,
    private val random: Random,
    private val sleep: (Duration) -> Unit = { Thread.sleep(it.inWholeMilliseconds) },
) : ObjectStore {
    override fun get(key: ObjectKey): Either<PlatformError, StoredObject?> = withRetries { getOnce(key) }

    override fun list(
        prefix: String,
        after: ObjectKey?,
        limit: Int,
    ): Either<PlatformError, ObjectPage> =
        withRetries { attempt(CallKind.LIST, guards.readLimiter) { inner.list(prefix, after, limit) } }

    // A long-polling watch takes too long to serve as the probe of an open circuit.
    override fun watch(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): Either<PlatformError, WatchResult> =
        if (guards.circuitBreaker.isOpen) {
            CIRCUIT_OPEN.left()
        } else {
            attempt(CallKind.WATCH, guards.readLimiter) { inner.watch(prefix, after, wait) }
        }

    override fun put(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
    ): Either<PlatformError, ObjectVersion> {
        var isOutcomeUnknown = false
        return withRetries {
            val result = attempt(CallKind.PUT, guards.writeLimiter) { inner.put(key, value, condition) }
            val error = result.leftOrNull()
            if (error is PlatformError.NoAnswer) isOutcomeUnknown = true
            val mustReadBack =
                isOutcomeUnknown && (error is PlatformError.NoAnswer || error == PlatformError.ConditionFailed)
            if (mustReadBack) resolvePut(key, value, condition) else result
        }
    }

    override fun delete(
        key: ObjectKey,
        version: ObjectVersion,
    ): Either<PlatformError, Unit> {
        var isOutcomeUnknown = false
        return withRetries {
            val result = attempt(CallKind.DELETE, guards.writeLimiter) { inner.delete(key, version) }
            val error = result.leftOrNull()
            if (isOutcomeUnknown && error == PlatformError.ConditionFailed) return@withRetries resolveDelete(key)
            if (error is PlatformError.NoAnswer) isOutcomeUnknown = true
            result
        }
    }

    /** Reads the object back to determine whether the write of [value] took effect. */
    private fun resolvePut(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
    ): Either<PlatformError, ObjectVersion> {
        val current =
            getOnce(
                key,
            ).fold({ return PlatformError.NoAnswer("reading the object back failed: $it").left() }, { it })
        return when {
            current?.value == value -> current.version.right()
            stillHolds(condition, current) -> PlatformError.NoAnswer("the write has not taken effect yet").left()
            else -> PlatformError.NoAnswer("the write was overwritten or never took effect").left()
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

    private fun resolveDelete(key: ObjectKey): Either<PlatformError, Unit> {
        val current =
            getOnce(
                key,
            ).fold({ return PlatformError.NoAnswer("reading the object back failed: $it").left() }, { it })
        return if (current == null) Unit.right() else PlatformError.ConditionFailed.left()
    }

    private fun getOnce(key: ObjectKey): Either<PlatformError, StoredObject?> =
        attempt(CallKind.GET, guards.readLimiter) { inner.get(key) }

    private fun <T> withRetries(call: () -> Either<PlatformError, T>): Either<PlatformError, T> {
        val end = clock.nanos() + guards.deadline.inWholeNanoseconds
        var failures = 0
        var mayHaveTakenEffect = false
        while (true) {
            val result = call()
            val error = result.leftOrNull()
            if (error is PlatformError.NoAnswer) mayHaveTakenEffect = true
            val isTransient = error is PlatformError.NotSent || error is PlatformError.NoAnswer
            if (!isTransient) return result
            failures++
            val pause = guards.backoff.delay(failures, random)
            if (failures >= guards.maxAttempts || clock.nanos() + pause.inWholeNanoseconds - end >= 0) {
                return if (mayHaveTakenEffect) PlatformError.NoAnswer("$error").left() else result
            }
            sleep(pause)
        }
    }

    private fun <T> attempt(
        kind: CallKind,
        limiter: ProcessRateLimiter,
        call: () -> Either<PlatformError, T>,
    ): Either<PlatformError, T> {
        awaitToken(limiter)?.let { return it.left() }
        if (!guards.circuitBreaker.tryAcquire()) return CIRCUIT_OPEN.left()
        val started = clock.nanos()
        val result = catchExceptions(call)
        val error = result.leftOrNull()
        recordOutcome(error)
        guards.listener.onCall(kind, error, (clock.nanos() - started).nanoseconds)
        return result
    }

    private fun <T> catchExceptions(call: () -> Either<PlatformError, T>): Either<PlatformError, T> =
        try {
            call()
        } catch (exception: RuntimeException) {
            PlatformError.NoAnswer("$exception").left()
        }

    private fun recordOutcome(error: PlatformError?) {
        if (error is PlatformError.NotSent || error is PlatformError.NoAnswer) {
            guards.circuitBreaker.recordFailure()
        } else if (guards.circuitBreaker.recordResponse()) {
            guards.readLimiter.drain()
            guards.writeLimiter.drain()
        }
    }

    /** Waits for a token; returns an error if none becomes available within the deadline. */
    private fun awaitToken(limiter: ProcessRateLimiter): PlatformError? {
        val end = clock.nanos() + guards.deadline.inWholeNanoseconds
        while (true) {
            val pause = limiter.tryAcquire()
            if (pause == Duration.ZERO) return null
            if (clock.nanos() + pause.inWholeNanoseconds - end >=
                0
            ) {
                return PlatformError.NotSent("rate limit: no token within ${guards.deadline}")
            }
            sleep(maxOf(pause, MIN_SLEEP))
        }
    }

    private companion object {
        val MIN_SLEEP = 1.milliseconds
        val CIRCUIT_OPEN = PlatformError.NotSent("circuit breaker is open")
    }
}
