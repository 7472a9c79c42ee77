package dev.almondhaven.store

import arrow.core.right
import dev.almondhaven.model.NanoClock
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

class GuardedObjectStoreTest {
    private var now = 0L
    private val clock = NanoClock { now }
    private val inMemory = InMemoryObjectStore()

    private fun rateLimiter(rate: Double) = ProcessRateLimiter(clock, burst = 10.0) { rate }

    private fun guarded(
        inner: ObjectStore,
        seed: Int = 1,
        rate: Double = 1_000.0,
        failuresToOpen: Int = Int.MAX_VALUE,
    ): GuardedObjectStore {
        val breaker = CircuitBreaker(clock, Random(seed), failuresToOpen = failuresToOpen)
        val guards = CallGuards(rateLimiter(rate), rateLimiter(rate), breaker)
        return GuardedObjectStore(inner, guards, clock, Random(seed)) { now += it.inWholeNanoseconds }
    }

    @Nested
    inner class `a write` {
        @Test
        fun `whose response is lost is resolved by reading the object back`() {
            val faulty = FaultyObjectStore(inMemory, seed = 1, ObjectStoreFaults(lostResponses = 1.0))

            val written = guarded(faulty).put(ObjectKey("a"), "mine", WriteCondition.Absent)

            expectThat(written).isEqualTo(ObjectVersion(1).right())
        }

        @Test
        fun `is reported as successful only if it took effect, and as without effect only if it didn't`() {
            val misreportedSeeds = (1L..3_000L).filter { seed -> !reportsOutcomesCorrectly(seed) }

            expectThat(misreportedSeeds).isEmpty()
        }

        private fun reportsOutcomesCorrectly(seed: Long): Boolean {
            val store = InMemoryObjectStore()
            val faults = ObjectStoreFaults(notSent = 0.1, lostResponses = 0.2, lateWrites = 0.2, staleReads = 0.2)
            val faulty = FaultyObjectStore(store, seed, faults)
            val effectiveValues = HashSet<String>()
            val recording = RecordingStore(faulty, store, effectiveValues)
            var version: ObjectVersion? = null
            return (1..10).all { number ->
                val value = "writer-$number"
                val condition = version?.let { WriteCondition.AtVersion(it) } ?: WriteCondition.Absent
                val result = guarded(recording, seed.toInt()).put(ObjectKey("a"), value, condition)
                version = store.get(ObjectKey("a")).getOrNull()?.version
                effectiveValues += listOfNotNull(store.get(ObjectKey("a")).getOrNull()?.value)
                when (result.leftOrNull()) {
                    null -> value in effectiveValues
                    is PlatformError.NoAnswer -> true
                    else -> value !in effectiveValues
                }
            }
        }
    }

    /** Adds the value that is stored after each call, read past the injected faults, to [seen]. */
    private class RecordingStore(
        private val inner: ObjectStore,
        private val faultless: ObjectStore,
        private val seen: MutableSet<String>,
    ) : ObjectStore by inner {
        override fun get(key: ObjectKey) = inner.get(key).also { recordStored(key) }

        override fun put(
            key: ObjectKey,
            value: String,
            condition: WriteCondition,
        ) = inner.put(key, value, condition).also { recordStored(key) }

        private fun recordStored(key: ObjectKey) {
            faultless.get(key).getOrNull()?.let { seen += it.value }
        }
    }

    @Nested
    inner class `the rate limiter` {
        @Test
        fun `limits the calls of a minute to its rate and burst`() {
            val faulty = FaultyObjectStore(inMemory, seed = 1)
            val objects = guarded(faulty, rate = 5.0)
            while (now < 1.minutes.inWholeNanoseconds) objects.get(ObjectKey("a"))

            expectThat(faulty.calls).isLessThanOrEqualTo(5 * 60 + 10L)
        }

        @Test
        fun `keeps its share of the platform's rate when the fleet is partitioned`() {
            var size = 370
            val share = FleetRateShare(clock) { size }
            val before = share.of(200.0)
            size = 1

            expectThat(share.of(200.0)).isEqualTo(before)
        }
    }

    @Nested
    inner class `the circuit breaker` {
        @Test
        fun `opens after failures, lets one probe through and closes when the platform responds to it`() {
            val breaker = CircuitBreaker(clock, Random(1), failuresToOpen = 2)
            repeat(2) { breaker.recordFailure() }
            expectThat(breaker.tryAcquire()).isFalse()

            now += 5.seconds.inWholeNanoseconds
            expectThat(listOf(breaker.tryAcquire(), breaker.tryAcquire())).isEqualTo(listOf(true, false))
            expectThat(breaker.recordResponse()).isTrue()
            expectThat(breaker.isOpen).isFalse()
        }

        @Test
        fun `limits the calls of a platform that is down to one per two seconds`() {
            val faulty = FaultyObjectStore(inMemory, seed = 1).apply { outage = true }
            val objects = guarded(faulty, failuresToOpen = 5)
            repeat(10_000) {
                now += 100_000_000
                expectThat(objects.get(ObjectKey("a")).leftOrNull()).isA<PlatformError>()
            }

            expectThat(faulty.calls).isLessThanOrEqualTo(now.nanoseconds.inWholeSeconds / 2)
        }
    }
}
