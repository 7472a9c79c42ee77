package dev.almondhaven.decision.limit

import dev.almondhaven.model.OrganisationId
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.map
import kotlin.math.abs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FairQueueTest {
    private val far = 3_600.seconds.inWholeNanoseconds

    private fun request(
        organisation: String,
        share: Double = 1.0,
        latestStart: Long = far,
        priority: Priority = Priority.NORMAL,
    ): QueuedRequest<String> =
        QueuedRequest("$organisation-$priority", OrganisationId(organisation), share, 1.0, latestStart, priority)

    @Nested
    inner class `organisations that all wait` {
        @Test
        fun `are served by their shares within one request`() {
            runBlocking {
                checkAll(PropTestConfig(seed = 48), Arb.int(1..5), Arb.int(1..5)) { first, second ->
                    val queue = FairQueue<String>()
                    repeat(100) { queue.offer(request("large", first.toDouble()), 0) }
                    repeat(100) { queue.offer(request("small", second.toDouble()), 0) }
                    val served = List(60) { queue.poll(0)!!.organisation.value }.count { it == "large" }

                    expectThat(abs(served - 60.0 * first / (first + second))).isLessThanOrEqualTo(1.0 + 1e-9)
                }
            }
        }

        @Test
        fun `don't starve one that comes late`() {
            val queue = FairQueue<String>()
            repeat(200) { queue.offer(request("large"), 0) }
            repeat(50) { queue.poll(0) }
            queue.offer(request("small"), 0)

            expectThat(listOf(queue.poll(0), queue.poll(0)).map { it!!.organisation.value }.contains("small"))
                .isEqualTo(true)
        }
    }

    @Nested
    inner class `an organisation's own requests` {
        @Test
        fun `go by priority, then in order`() {
            val queue = FairQueue<String>()
            listOf(Priority.LOW, Priority.NORMAL, Priority.HIGH).forEach { queue.offer(request("a", priority = it), 0) }

            expectThat(List(3) { queue.poll(0)!! }).map { it.priority }.containsExactly(Priority.entries)
        }

        @Test
        fun `beyond the bound are refused`() {
            val queue = FairQueue<String>(maxQueueLength = 2)
            val results = List(3) { queue.offer(request("a"), 0) }

            expectThat(results.last()).isA<EnqueueResult.Refused>()
            expectThat(queue.size).isEqualTo(2)
        }
    }

    @Nested
    inner class `a request that can't start in time` {
        private fun served(): FairQueue<String> {
            val queue = FairQueue<String>()
            repeat(100) { queue.offer(request("a"), 0) }
            repeat(50) { queue.poll(it * 100.milliseconds.inWholeNanoseconds) }
            return queue
        }

        @Test
        fun `is refused at once with the time until there is room`() {
            val now = 5.seconds.inWholeNanoseconds
            val result = served().offer(request("a", latestStart = now + 1.seconds.inWholeNanoseconds), now)

            expectThat(result).isA<EnqueueResult.Refused>().get { retryAfter.inWholeSeconds }.isEqualTo(5)
        }

        @Test
        fun `is handed out once its time has passed`() {
            val queue = FairQueue<String>()
            queue.offer(request("a", latestStart = 10), 0)
            queue.offer(request("b"), 0)

            expectThat(queue.expired(10)).map { it.value }.containsExactly("a-NORMAL")
            expectThat(queue.size).isEqualTo(1)
        }
    }
}
