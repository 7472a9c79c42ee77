package dev.almondhaven.decision.endpoint

import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.RouterId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EndpointLimiterTest {
    private val self = RouterId("router")
    private val onlySelf = listOf(self)
    private val state =
        EndpointState(Endpoint(EndpointId("engine"), FailureDomainId("west"), "127.0.0.1:1"), EjectionGroup())
    private val limiter = EndpointLimiter(state, self)

    private fun report(
        startId: String,
        uptime: Duration,
        running: Int = 0,
    ) = LoadReport(startId, running, 0, slots = 16, uptime)

    private fun limitAt(time: Duration): Int {
        limiter.update(time.inWholeNanoseconds, onlySelf)
        return state.limit
    }

    private fun reportAt(
        time: Duration,
        report: LoadReport,
    ): Boolean = limiter.acceptReport(report, time.inWholeNanoseconds)

    @Nested
    inner class `an endpoint` {
        @Test
        fun `that just started has a limit that doubles from two up to its slots`() {
            reportAt(0.seconds, report("a", uptime = 0.seconds))

            expectThat(listOf(0, 3, 6, 9).map { limitAt(it.seconds) }).containsExactly(2, 4, 8, 32)
        }

        @Test
        fun `that has not reported yet counts as cold`() {
            expectThat(limitAt(100.seconds)).isEqualTo(2)
        }

        @Test
        fun `that has run for long is warm from its first report`() {
            reportAt(0.seconds, report("a", uptime = 60.seconds))
            limitAt(0.seconds)

            expectThat(state.isCold).isFalse()
        }

        @Test
        fun `that changed its start id goes through slow start again`() {
            reportAt(0.seconds, report("a", uptime = 60.seconds))

            expectThat(reportAt(1.seconds, report("b", uptime = 200.milliseconds))).isTrue()
            expectThat(limitAt(1.seconds)).isEqualTo(2)
        }

        @Test
        fun `whose connections broke is limited until a newer report shows no restart`() {
            reportAt(0.seconds, report("a", uptime = 60.seconds))
            limiter.recordConnectionLost(1.seconds.inWholeNanoseconds)
            val whileSuspected = limitAt(1.seconds)
            reportAt(2.seconds, report("a", uptime = 62.seconds))

            expectThat(listOf(whileSuspected, limitAt(2.seconds))).containsExactly(2, 32)
        }

        @Test
        fun `stays limited if the report is older than the broken connections`() {
            reportAt(0.seconds, report("a", uptime = 60.seconds))
            limiter.recordConnectionLost(2.seconds.inWholeNanoseconds)
            reportAt(1.seconds, report("a", uptime = 61.seconds))

            expectThat(limitAt(2.seconds)).isEqualTo(2)
        }

        @Test
        fun `whose latency collapses goes through slow start again`() {
            reportAt(0.seconds, report("a", uptime = 60.seconds))
            limitAt(0.seconds)
            repeat(30) { limiter.recordSuccess(50.milliseconds, now = 0) }
            val collapses = (1..20).count { limiter.recordSuccess(2.seconds, 1.seconds.inWholeNanoseconds) }

            expectThat(collapses).isEqualTo(1)
            expectThat(limitAt(1.seconds)).isEqualTo(2)
        }

        @Test
        fun `that reports overload gets a lower limit`() {
            reportAt(0.seconds, report("a", uptime = 60.seconds))
            limiter.recordOverload(now = 0)

            expectThat(limitAt(0.seconds)).isLessThan(32)
        }
    }

    @Nested
    inner class `a load report` {
        @Test
        fun `decays towards the average of the pool`() {
            reportAt(0.seconds, report("a", uptime = 60.seconds, running = 0))
            val fresh = state.load(now = 0, averageOtherRequests = 8.0)
            val stale = state.load(20.seconds.inWholeNanoseconds, averageOtherRequests = 8.0)

            expectThat(listOf(fresh, (stale * 100).toInt() / 100.0)).containsExactly(0.0, 0.49)
        }

        @Test
        fun `that is older than the stored one is ignored`() {
            reportAt(2.seconds, report("b", uptime = 60.seconds))

            expectThat(reportAt(1.seconds, report("a", uptime = 0.seconds))).isFalse()
            expectThat(limitAt(2.seconds)).isEqualTo(32)
        }
    }
}
