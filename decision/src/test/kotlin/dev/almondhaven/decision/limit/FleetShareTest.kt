package dev.almondhaven.decision.limit

import dev.almondhaven.model.RouterId
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.set
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.seconds

class FleetShareTest {
    private fun routers(numbers: Collection<Int>): List<RouterId> = numbers.sorted().map { RouterId("router-$it") }

    private fun sum(
        limit: Int,
        viewOf: (RouterId) -> List<RouterId>,
        holders: List<RouterId>,
    ): Int = holders.sumOf { FleetShare.of("engine", limit, it, viewOf(it)) }

    @Nested
    inner class `the parts of a limit` {
        @Test
        fun `add up to it when all routers have one view`() {
            runBlocking {
                checkAll(PropTestConfig(seed = 44), Arb.int(0..64), Arb.set(Arb.int(0..400), 1..370)) { limit, view ->
                    val members = routers(view)

                    expectThat(sum(limit, { members }, members)).isEqualTo(limit)
                }
            }
        }

        @Test
        fun `add up to at most the limit for each distinct view`() {
            runBlocking {
                val views = Arb.list(Arb.set(Arb.int(0..30), 1..20), 1..4)
                checkAll(PropTestConfig(seed = 45), Arb.int(0..64), views) { limit, distinct ->
                    val lists = distinct.map { routers(it) }
                    val holders = lists.flatten().distinct()
                    val viewOf = { router: RouterId -> lists.last { router in it } }

                    expectThat(sum(limit, viewOf, holders)).isLessThanOrEqualTo(limit * lists.distinct().size)
                }
            }
        }
    }

    @Nested
    inner class `while a change of membership spreads` {
        @Test
        fun `the parts of routers with the old and the new view stay within the limit`() {
            runBlocking {
                val members = Arb.set(Arb.int(0..40), 1..30)
                checkAll(PropTestConfig(seed = 46), Arb.int(0..64), members, members, Arb.int(0..1_000)) {
                    limit,
                    before,
                    after,
                    informed,
                    ->
                    val old = routers(before)
                    val new = routers(after)
                    val total =
                        old.withIndex().sumOf { (place, router) ->
                            val share = RecentMinimumShare("engine", router)
                            val first = share.of(limit, old, now = 0)
                            val knows = (informed shr (place % 10)) and 1 == 1
                            if (knows) share.of(limit, new, 1.seconds.inWholeNanoseconds) else first
                        }

                    expectThat(total).isLessThanOrEqualTo(limit)
                }
            }
        }
    }

    @Nested
    inner class `pooled shares` {
        @Test
        fun `add up to the limit wherever the traffic arrives`() {
            runBlocking {
                val uses = Arb.list(Arb.int(0..50), 1..62)
                checkAll(PropTestConfig(seed = 47), Arb.int(1..2_000), uses) { limit, own ->
                    val fleet = own.sum().toDouble()
                    val parts = own.sumOf { UsageBasedShare.of(limit.toDouble(), it.toDouble(), fleet, own.size) }

                    expectThat(parts).isLessThanOrEqualTo(limit + 1e-6)
                }
            }
        }
    }
}
