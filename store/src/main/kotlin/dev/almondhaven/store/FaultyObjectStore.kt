package dev.almondhaven.store

import arrow.core.Either
import arrow.core.left
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Fault probabilities of a [FaultyObjectStore], each between 0 and 1 and per call that can fail in that way.
 *
 * @property notSent calls that fail with [PlatformError.NotSent] and have no effect.
 * @property lostResponses writes that take effect at once but whose response is lost.
 * @property lateWrites writes without a response that take effect some calls later, if their condition holds then.
 * @property staleReads reads that return an earlier value of the object.
 */
public data class ObjectStoreFaults(
    public val notSent: Double = 0.0,
    public val lostResponses: Double = 0.0,
    public val lateWrites: Double = 0.0,
    public val staleReads: Double = 0.0,
)

/**
 * Injects the platform's failure modes into another store, for tests. The same seed and calls give the same faults.
 *
 * ```
 * val objects = FaultyObjectStore(InMemoryObjectStore(), seed = 7, ObjectStoreFaults(lostResponses = 0.2))
 * objects.outage = true
 * ```
 */
public class FaultyObjectStore(
    private val inner: ObjectStore,
    seed: Long,
    faults: ObjectStoreFaults = ObjectStoreFaults(),
) : ObjectStore {
    private val random = Random(seed)
    private val earlierValues = HashMap<ObjectKey, MutableList<StoredObject?>>()
    private val pendingWrites = ArrayDeque<LateWrite>()

    private class LateWrite(
        val callsLeft: Int,
        val apply: () -> Unit,
    )

    /** The fault probabilities; may be changed between calls. */
    @Volatile
    public var faults: ObjectStoreFaults = faults

    /** Whether every call fails without a response and without effect. */
    @Volatile
    public var outage: Boolean = false

    /** Number of calls so far, failed ones included. */
    @Volatile
    public var calls: Long = 0
        private set

    /** Applies every pending late write now; a write whose condition doesn't hold has no effect. */
    @Synchronized
    public fun deliverLateWrites() {
        while (pendingWrites.isNotEmpty()) pendingWrites.removeFirst().apply()
    }

    @Synchronized
    override fun get(key: ObjectKey): Either<PlatformError, StoredObject?> {
        injectFailure()?.let { return it.left() }
        val current = inner.get(key)
        val earlier = earlierValues[key].orEmpty()
        val stale = earlier.isNotEmpty() && occurs(faults.staleReads)
        return if (stale) Either.Right(earlier.random(random)) else current
    }

    @Synchronized
    override fun put(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
    ): Either<PlatformError, ObjectVersion> = write(key) { inner.put(key, value, condition) }

    @Synchronized
    override fun delete(
        key: ObjectKey,
        version: ObjectVersion,
    ): Either<PlatformError, Unit> = write(key) { inner.delete(key, version) }

    @Synchronized
    override fun list(
        prefix: String,
        after: ObjectKey?,
        limit: Int,
    ): Either<PlatformError, ObjectPage> = injectFailure()?.left() ?: inner.list(prefix, after, limit)

    override fun watch(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): Either<PlatformError, WatchResult> = injectWatchFailure()?.left() ?: inner.watch(prefix, after, wait)

    @Synchronized
    private fun injectWatchFailure(): PlatformError? = injectFailure()

    private fun <T> write(
        key: ObjectKey,
        action: () -> Either<PlatformError, T>,
    ): Either<PlatformError, T> {
        injectFailure()?.let { return it.left() }
        if (occurs(faults.lateWrites)) {
            pendingWrites.addLast(LateWrite(random.nextInt(1, MAX_DELAY_CALLS)) { applyAndRecordPrevious(key, action) })
            return NO_ANSWER.left()
        }
        val result = applyAndRecordPrevious(key, action)
        return if (occurs(faults.lostResponses)) NO_ANSWER.left() else result
    }

    private fun <T> applyAndRecordPrevious(
        key: ObjectKey,
        action: () -> Either<PlatformError, T>,
    ): Either<PlatformError, T> {
        val before = inner.get(key).getOrNull()
        return action().onRight { earlierValues.getOrPut(key) { mutableListOf() }.add(before) }
    }

    private fun injectFailure(): PlatformError? {
        calls++
        advanceLateWrites()
        return when {
            outage -> PlatformError.NoAnswer("outage")
            occurs(faults.notSent) -> PlatformError.NotSent("connection refused")
            else -> null
        }
    }

    private fun advanceLateWrites() {
        repeat(pendingWrites.size) {
            val write = pendingWrites.removeFirst()
            if (write.callsLeft <=
                1
            ) {
                write.apply()
            } else {
                pendingWrites.addLast(LateWrite(write.callsLeft - 1, write.apply))
            }
        }
    }

    private fun occurs(probability: Double): Boolean = probability > 0 && random.nextDouble() < probability

    private companion object {
        const val MAX_DELAY_CALLS = 12
        val NO_ANSWER = PlatformError.NoAnswer("the response was lost")
    }
}
