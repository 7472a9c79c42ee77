package dev.almondhaven.decision.traffic

import dev.almondhaven.decision.endpoint.EjectionGroup
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.ServiceId
import dev.almondhaven.traffic.EndpointListing
import dev.almondhaven.traffic.PromptPart
import dev.almondhaven.traffic.ReportedLoad
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo
import kotlin.time.Duration

class EndpointPlacementTest {
    private val second = 1_000_000_000L
    private val speed = PrefillSpeed()
    private val group = EjectionGroup(0.9)
    private val random = RandomSource.SPLIT_MIX_64.create(1L)
    private val placement = EndpointPlacement(FailureDomainId("here"))

    private fun endpoint(
        id: String,
        domain: String = "here",
    ): EndpointView {
        val address = "10.0.0.1:80"
        val listing =
            EndpointListing(
                EndpointId(id),
                ServiceId("s"),
                address,
                FailureDomainId(domain),
                "v1",
                slots = 8,
                leaving = false,
                coldLeft = Duration.ZERO,
                bornMillis = 1,
            )
        return EndpointView(listing, group, memoryTokens = 100_000, speed, now = 0)
    }

    private val plain = PlacementRequest(model = "", promptTokens = 0, promptParts = emptyList(), affinity = null)

    private fun prompt(
        subject: String,
        tokens: Int = 4_000,
    ): PlacementRequest {
        val parts = listOf(PromptPart(subject, tokens - 100), PromptPart("own", 100))
        return PlacementRequest("m", tokens, parts, affinity = "$subject/m")
    }

    @Nested
    inner class `a plain service` {
        @Test
        fun `is served by the own failure domain while that has room`() {
            val near = endpoint("near")
            val far = endpoint("far", domain = "there")
            expectThat(placement.choose(listOf(far, near), plain, 0)).isEqualTo(near)
            repeat(4) { near.recordStart(0.0) }
            expectThat(placement.choose(listOf(far, near), plain, 0)).isEqualTo(far)
        }

        @Test
        fun `is not sent to an endpoint that fails part of its requests, until that has faded`() {
            val grey = endpoint("grey")
            val sound = endpoint("sound", domain = "there")
            repeat(10) { if (it % 2 == 0) grey.recordFailure(0, random) else grey.recordSuccess(0) }
            expectThat(placement.choose(listOf(grey, sound), plain, 0)).isEqualTo(sound)
            expectThat(placement.choose(listOf(grey, sound), plain, 30 * second)).isEqualTo(grey)
        }

        @Test
        fun `counts the requests that other routers have sent, as the endpoint reports them`() {
            val busy = endpoint("busy").apply { recordLoad(ReportedLoad(running = 8, waiting = 3, slots = 8), 0) }
            val free = endpoint("free", domain = "there")
            expectThat(placement.choose(listOf(busy, free), plain, 0)).isEqualTo(free)
            expectThat(placement.choose(listOf(busy, free), plain, 2 * second)).isEqualTo(busy)
        }
    }

    @Nested
    inner class `a prompt` {
        private val engines = List(6) { endpoint("engine$it") }

        @Test
        fun `goes to the same engine from every router, by the part that it shares`() {
            val other = EndpointPlacement(FailureDomainId("here"))
            val subjects = (1..20).map { prompt("subject$it") }
            val chosen = subjects.map { placement.choose(engines, it, 0) }
            expectThat(
                subjects.map { other.choose(engines.shuffled(kotlin.random.Random(3)), it, 0) },
            ).isEqualTo(chosen)
            expectThat(chosen.distinct().size).isGreaterThan(3)
        }

        @Test
        fun `goes elsewhere while its engine reads a long prompt of another router`() {
            val home = placement.choose(engines, prompt("subject"), 0)!!
            home.remotePrefills.add("other", millis = 3_000.0, now = 0)
            expectThat(placement.choose(engines, prompt("subject"), 0)).isNotEqualTo(home)
            home.remotePrefills.remove("other")
            expectThat(placement.choose(engines, prompt("subject"), 0)).isEqualTo(home)
        }

        @Test
        fun `goes elsewhere while its engine is set aside`() {
            val home = placement.choose(engines, prompt("subject"), 0)!!
            home.recordUnreachable(0, random)
            expectThat(placement.choose(engines, prompt("subject"), 0)).isNotEqualTo(home)
        }
    }

    @Nested
    inner class `an announced reading` {
        @Test
        fun `ends by itself if its end is lost`() {
            val reading = RemotePrefills()
            reading.add("a", millis = 1_000.0, now = 0)
            expectThat(
                listOf(0L, 2 * second, 3 * second).map(reading::totalMillis),
            ).isEqualTo(listOf(1_000.0, 1_000.0, 0.0))
        }

        @Test
        fun `that no prompt can cause is ignored`() {
            val reading = RemotePrefills()
            listOf(-5.0, 1e9, Double.NaN).forEach { reading.add("a", it, 0) }
            expectThat(reading.totalMillis(0)).isEqualTo(0.0)
        }
    }
}
