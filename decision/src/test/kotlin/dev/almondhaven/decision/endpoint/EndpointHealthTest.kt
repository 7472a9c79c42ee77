package dev.almondhaven.decision.endpoint

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

class EndpointHealthTest {
    private val random = RandomSource.SPLIT_MIX_64.create(1L)
    private val afterEjection = 2.seconds.inWholeNanoseconds

    private fun group(size: Int): List<EndpointHealth> =
        EjectionGroup().let { group ->
            List(size) {
                EndpointHealth(group)
            }
        }

    private fun EndpointHealth.failThrice(now: Long = 0): Boolean = (1..3).map { recordFailure(now, random) }.last()

    @Nested
    inner class `an endpoint that fails repeatedly` {
        @Test
        fun `is ejected, probed by a single request and restored`() {
            val endpoint = group(3).first()
            val ejected = endpoint.failThrice()
            val usedWhileEjected = endpoint.tryUse(1)
            val probes = List(2) { endpoint.tryUse(afterEjection) }
            val restored = endpoint.recordSuccess()

            expectThat(listOf(ejected, usedWhileEjected) + probes + listOf(restored, endpoint.tryUse(afterEjection)))
                .containsExactly(true, false, true, false, true, true)
        }

        @Test
        fun `stays ejected for longer if the probe fails`() {
            val endpoint = group(3).first()
            endpoint.failThrice()
            endpoint.tryUse(afterEjection)
            endpoint.recordFailure(afterEjection, random)

            expectThat(endpoint.refuses(afterEjection + 1.seconds.inWholeNanoseconds)).isTrue()
        }

        @Test
        fun `is not ejected if it is the only one`() {
            expectThat(group(1).first().failThrice()).isFalse()
        }
    }

    /** Guards against LOST: the last endpoint that took requests was ejected, since others that were draining were counted. */
    @Nested
    inner class `of endpoints some of which drain` {
        private val takesRequests = MutableList(3) { true }
        private val endpoints =
            EjectionGroup().let { group -> List(3) { number -> EndpointHealth(group) { takesRequests[number] } } }

        @Test
        fun `the last one that takes requests is not ejected`() {
            takesRequests[1] = false
            takesRequests[2] = false
            expectThat(endpoints[0].failThrice()).isFalse()
        }

        @Test
        fun `those that drain are ejected, and leave the others their share`() {
            takesRequests[2] = false
            expectThat(listOf(2, 0, 1).map { endpoints[it].failThrice() }).containsExactly(true, true, false)
        }

        @Test
        fun `an ejected one is used while it is the last one that takes requests`() {
            endpoints[0].failThrice()
            expectThat(endpoints[0].refuses(1)).isTrue()
            takesRequests[1] = false
            takesRequests[2] = false
            expectThat(endpoints[0].refuses(1)).isFalse()
            takesRequests[1] = true
            expectThat(endpoints[0].refuses(1)).isTrue()
        }

        @Test
        fun `one is ejected as before while none takes requests`() {
            takesRequests.fill(false)
            expectThat(endpoints.map { it.failThrice() }).containsExactly(true, true, false)
        }
    }

    @Nested
    inner class `an ejection group` {
        @Test
        fun `never ejects more than seven in ten endpoints`() {
            runBlocking {
                checkAll(PropTestConfig(seed = 49), Arb.int(1..40), Arb.list(Arb.int(0..39), 0..400)) { size, failing ->
                    val members = group(size)
                    failing.forEach { members[it % size].recordFailure(0, random) }
                    val ejected = members.count { it.isEjected }

                    expectThat(ejected).isLessThan(size)
                    expectThat(ejected <= size * 0.7).isEqualTo(true)
                }
            }
        }
    }
}
