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

    private fun budget(rate: Double) = ProcessRateLimiter(clock, burst = 10.0) { rate }

    private fun guarded(
        inner: ObjectStore,
        seed: Int = 1,
        rate: Double = 1_000.0,
        fails: Int = Int.MAX_VALUE,
    ): GuardedObjectStore {
        val breaker = CircuitBreaker(clock, Random(seed), failuresToOpen = fails)
        val guards = CallGuards(budget(rate), budget(rate), breaker)
        return GuardedObjectStore(inner, guards, clock, Random(seed)) { now += it.inWholeNanoseconds }
    }

    @Nested
    inner class `a write` {
        @Test
        fun `whose answer is lost is settled by reading it back`() {
            val faulty = FaultyObjectStore(inMemory, seed = 1, ObjectStoreFaults(lostResponses = 1.0))

            val written = guarded(faulty).put(ObjectKey("a"), "mine", WriteCondition.Absent)

            expectThat(written).isEqualTo(ObjectVersion(1).right())
        }

        @Test
        fun `never counts as done unless it took effect, nor as undone if it did`() {
            val wrong = (1L..3_000L).filter { seed -> !truthful(seed) }

            expectThat(wrong).isEmpty()
        }

        private fun truthful(seed: Long): Boolean {
            val store = InMemoryObjectStore()
            val faults = ObjectStoreFaults(notSent = 0.1, lostResponses = 0.2, lateWrites = 0.2, staleReads = 0.2)
            val faulty = FaultyObjectStore(store, seed, faults)
            val taken = HashSet<String>()
            val recording = RecordingStore(faulty, store, taken)
            var version: ObjectVersion? = null
            return (1..10).all { number ->
                val value = "writer-$number"
                val condition = version?.let { WriteCondition.AtVersion(it) } ?: WriteCondition.Absent
                val result = guarded(recording, seed.toInt()).put(ObjectKey("a"), value, condition)
                version = store.get(ObjectKey("a")).getOrNull()?.version
                taken += listOfNotNull(store.get(ObjectKey("a")).getOrNull()?.value)
                when (result.leftOrNull()) {
                    null -> value in taken
                    is PlatformError.NoAnswer -> true
                    else -> value !in taken
                }
            }
        }
    }

    /** Notes every value that is in effect after a call. */
    private class RecordingStore(
        private val inner: ObjectStore,
        private val truth: ObjectStore,
        private val seen: MutableSet<String>,
    ) : ObjectStore by inner {
        override fun get(key: ObjectKey) = inner.get(key).also { note(key) }

        override fun put(
            key: ObjectKey,
            value: String,
            condition: WriteCondition,
        ) = inner.put(key, value, condition).also { note(key) }

        private fun note(key: ObjectKey) {
            truth.get(key).getOrNull()?.let { seen += it.value }
        }
    }

    @Nested
    inner class `the call budget` {
        @Test
        fun `bounds the calls of a long time and is empty after an outage`() {
            val faulty = FaultyObjectStore(inMemory, seed = 1)
            val objects = guarded(faulty, rate = 5.0)
            while (now < 1.minutes.inWholeNanoseconds) objects.get(ObjectKey("a"))

            expectThat(faulty.calls).isLessThanOrEqualTo(5 * 60 + 10L)
        }

        @Test
        fun `of all routers stays under the platform's rate when the fleet falls apart`() {
            var size = 370
            val share = FleetRateShare(clock) { size }
            val before = share.of(200.0)
            size = 1

            expectThat(share.of(200.0)).isEqualTo(before)
        }
    }

    @Nested
    inner class `the circuit` {
        @Test
        fun `opens after failures, lets one probe through and closes when it is answered`() {
            val breaker = CircuitBreaker(clock, Random(1), failuresToOpen = 2)
            repeat(2) { breaker.recordFailure() }
            expectThat(breaker.tryAcquire()).isFalse()

            now += 5.seconds.inWholeNanoseconds
            expectThat(listOf(breaker.tryAcquire(), breaker.tryAcquire())).isEqualTo(listOf(true, false))
            expectThat(breaker.recordResponse()).isTrue()
            expectThat(breaker.isOpen).isFalse()
        }

        @Test
        fun `spares a platform that is down`() {
            val faulty = FaultyObjectStore(inMemory, seed = 1).apply { outage = true }
            val objects = guarded(faulty, fails = 5)
            repeat(10_000) {
                now += 100_000_000
                expectThat(objects.get(ObjectKey("a")).leftOrNull()).isA<PlatformError>()
            }

            expectThat(faulty.calls).isLessThanOrEqualTo(now.nanoseconds.inWholeSeconds / 2)
        }
    }
}
