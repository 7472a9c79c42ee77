package dev.almondhaven.store

import arrow.core.Either
import arrow.core.left
import kotlin.random.Random
import kotlin.time.Duration

/**
 * How often a [FaultyObjectStore] fails, each from 0 to 1 of the calls that can fail so.
 *
 * @property notSent calls that certainly have no effect.
 * @property lostResponses writes that take effect at once but whose answer is lost.
 * @property lateWrites writes without an answer that take effect only some calls later, if their condition holds then.
 * @property staleReads reads that return an earlier value of the object.
 */
public data class ObjectStoreFaults(
    public val notSent: Double = 0.0,
    public val lostResponses: Double = 0.0,
    public val lateWrites: Double = 0.0,
    public val staleReads: Double = 0.0,
)

/**
 * An object store that fails as the platform does; the same [seed] and calls give the same faults. For tests.
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
    private val late = ArrayDeque<LateWrite>()

    private class LateWrite(
        val callsLeft: Int,
        val apply: () -> Unit,
    )

    /** How often what fails; may be changed between calls. */
    @Volatile
    public var faults: ObjectStoreFaults = faults

    /** Whether every call goes unanswered and without effect. */
    @Volatile
    public var outage: Boolean = false

    /** Calls made so far. */
    @Volatile
    public var calls: Long = 0
        private set

    /** Lets every late write that is still under way take effect now, as far as its condition holds. */
    @Synchronized
    public fun deliverLateWrites() {
        while (late.isNotEmpty()) late.removeFirst().apply()
    }

    @Synchronized
    override fun get(key: ObjectKey): Either<PlatformError, StoredObject?> {
        failBefore()?.let { return it.left() }
        val current = inner.get(key)
        val earlier = earlierValues[key].orEmpty()
        val stale = earlier.isNotEmpty() && hits(faults.staleReads)
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
    ): Either<PlatformError, ObjectPage> = failBefore()?.left() ?: inner.list(prefix, after, limit)

    override fun watch(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): Either<PlatformError, WatchResult> = failWatch()?.left() ?: inner.watch(prefix, after, wait)

    @Synchronized
    private fun failWatch(): PlatformError? = failBefore()

    private fun <T> write(
        key: ObjectKey,
        action: () -> Either<PlatformError, T>,
    ): Either<PlatformError, T> {
        failBefore()?.let { return it.left() }
        if (hits(faults.lateWrites)) {
            late.addLast(LateWrite(random.nextInt(1, LONGEST_DELAY_CALLS)) { remembering(key, action) })
            return NO_ANSWER.left()
        }
        val result = remembering(key, action)
        return if (hits(faults.lostResponses)) NO_ANSWER.left() else result
    }

    private fun <T> remembering(
        key: ObjectKey,
        action: () -> Either<PlatformError, T>,
    ): Either<PlatformError, T> {
        val before = inner.get(key).getOrNull()
        return action().onRight { earlierValues.getOrPut(key) { mutableListOf() }.add(before) }
    }

    private fun failBefore(): PlatformError? {
        calls++
        advanceLateWrites()
        return when {
            outage -> PlatformError.NoAnswer("outage")
            hits(faults.notSent) -> PlatformError.NotSent("connection refused")
            else -> null
        }
    }

    private fun advanceLateWrites() {
        repeat(late.size) {
            val write = late.removeFirst()
            if (write.callsLeft <= 1) write.apply() else late.addLast(LateWrite(write.callsLeft - 1, write.apply))
        }
    }

    private fun hits(probability: Double): Boolean = probability > 0 && random.nextDouble() < probability

    private companion object {
        const val LONGEST_DELAY_CALLS = 12
        val NO_ANSWER = PlatformError.NoAnswer("the answer was lost")
    }
}
