package dev.almondhaven.decision.distribution

import dev.almondhaven.model.FailureDomainId
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.set
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.get
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue

class RelaySelectionTest {
    private val second = 1_000_000_000L

    private fun router(
        number: Int,
        domain: String = "east",
        megabits: Double = 24.0,
    ) = RelayCandidate("router-$number", "10.0.0.$number:7340", FailureDomainId(domain), megabits)

    private fun selection(
        self: RelayCandidate,
        routers: List<RelayCandidate>,
    ) = RelaySelection(self).apply { setRouters(routers) }

    private fun readers(routers: List<RelayCandidate>) = routers.filter { selection(it, routers).reader(0) == null }

    @Nested
    inner class `a failure domain` {
        @Test
        fun `has two readers, those with the widest links, which the others share`() {
            val routers = (1..28).map { router(it, megabits = if (it in 5..6) 200.0 else 10.0) }
            val followed = (routers - readers(routers).toSet()).map { selection(it, routers).reader(0)!!.name }

            expectThat(readers(routers).map { it.name }).isEqualTo(listOf("router-5", "router-6"))
            expectThat(followed.groupingBy { it }.eachCount().values).all { isGreaterThan(5) }
        }

        @Test
        fun `with few routers has no followers, so that small deployments work as before`() {
            val routers = (1..3).map(::router) + (4..9).map { router(it, "west") }

            expectThat(readers(routers).map { it.failureDomain?.value }.filter { it == "east" }.size).isEqualTo(3)
            expectThat(selection(routers[0], routers).isLarge).isFalse()
        }

        @Test
        fun `does not depend on routers of others, nor on entries that state no failure domain`() {
            val routers = (1..9).map(::router)
            val others = (10..20).map { router(it, "west", 1_000.0) } + router(21).copy(failureDomain = null)

            expectThat(readers(routers + others).filter { it.failureDomain == FailureDomainId("east") })
                .isEqualTo(readers(routers))
        }
    }

    @Nested
    inner class `a follower` {
        private val routers = (1..9).map(::router)
        private val follower = routers.first { selection(it, routers).reader(0) != null }

        @Test
        fun `asks the next router when one fails, and the first one again after the pause`() {
            val selection = selection(follower, routers)
            val first = selection.reader(0)!!
            selection.recordFailure(first, 0)
            val second = selection.reader(0)

            expectThat(second).isNotNull().get { this != first && this != follower }.isTrue()
            expectThat(selection.reader(this@RelaySelectionTest.second)).isEqualTo(first)
        }

        @Test
        fun `waits longer each time that a router has failed, which costs less where it is gone for good`() {
            val selection = selection(follower, routers)
            val first = selection.reader(0)!!
            val retries = ArrayList<Long>()
            var now = 0L
            while (retries.size < 6) {
                selection.recordFailure(first, now)
                val failedAt = now
                while (selection.reader(now) != first) now += second / 10
                retries += (now - failedAt) / second
            }
            expectThat(retries.toList()).isEqualTo(listOf(1L, 2L, 4L, 8L, 16L, 16L))
        }
    }

    @Nested
    inner class `whichever routers are lost` {
        @Test
        fun `some working router reads the store once the others have passed over the lost ones`(): Unit =
            runBlocking {
                checkAll(300, Arb.int(4..40), Arb.set(Arb.int(1..40), 0..39)) { size, lost ->
                    val routers = (1..size).map(::router)
                    val working = routers.filterIndexed { index, _ -> index + 1 !in lost }
                    val reads =
                        working.map { self ->
                            val selection = selection(self, routers)
                            generateSequence { selection.reader(0) }
                                .onEach { if (it !in working) selection.recordFailure(it, 0) }
                                .take(size)
                                .firstOrNull { it in working }
                        }
                    // Some router must read, or all would follow each other and nobody the store.
                    expectThat(working.isEmpty() || reads.any { it == null }).isTrue()
                }
            }
    }
}
