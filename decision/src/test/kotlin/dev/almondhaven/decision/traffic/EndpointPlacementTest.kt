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
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import kotlin.time.Duration

class EndpointPlacementTest {
    private val second = 1_000_000_000L
    private val prefillSpeed = PrefillSpeed()
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
                startedAtMillis = 1,
            )
        return EndpointView(
            listing,
            group,
            kvCacheTokens = 100_000,
            prefillSpeed,
            now = 0,
            statedShare = { RateShare(it, 2 * it + 5, routers = 1, position = 0) },
        )
    }

    private val plainRequest =
        PlacementRequest(model = "", promptTokens = 0, promptParts = emptyList(), affinity = null)

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
        fun `is served in its own failure domain while that has free slots`() {
            val near = endpoint("near")
            val far = endpoint("far", domain = "there")
            expectThat(placement.choose(listOf(far, near), plainRequest, 0)).isEqualTo(near)
            repeat(4) { near.recordStart(0.0, now = 0) }
            expectThat(placement.choose(listOf(far, near), plainRequest, 0)).isEqualTo(far)
        }

        @Test
        fun `avoids an endpoint that fails some requests until its failure rate has decayed`() {
            val flaky = endpoint("flaky")
            val healthy = endpoint("healthy", domain = "there")
            repeat(10) { if (it % 2 == 0) flaky.recordFailure(0, random) else flaky.recordSuccess(0) }
            expectThat(placement.choose(listOf(flaky, healthy), plainRequest, 0)).isEqualTo(healthy)
            expectThat(placement.choose(listOf(flaky, healthy), plainRequest, 30 * second)).isEqualTo(flaky)
        }

        @Test
        fun `goes on at an endpoint whose failure turned out to be the request's`() {
            val near = endpoint("near").apply { recordFailure(0, random) }
            val far = endpoint("far", domain = "there").apply { recordFailure(0, random) }
            expectThat(
                placement.choose(listOf(near, far, endpoint("other", "there")), plainRequest, 0),
            ).isNotEqualTo(near)
            listOf(near, far).forEach { it.retractFailure(0) }
            expectThat(placement.choose(listOf(near, far, endpoint("other", "there")), plainRequest, 0)).isEqualTo(near)
        }

        @Test
        fun `takes the requests of other routers from the load report of the endpoint`() {
            val busy = endpoint("busy").apply { recordLoad(ReportedLoad(running = 8, waiting = 3, slots = 8), 0) }
            val free = endpoint("free", domain = "there")
            expectThat(placement.choose(listOf(busy, free), plainRequest, 0)).isEqualTo(free)
            expectThat(placement.choose(listOf(busy, free), plainRequest, 2 * second)).isEqualTo(busy)
        }
    }

    @Nested
    inner class `an endpoint that limits its requests` {
        private val limited = endpoint("limited").apply { rateLimit.recordAnnounced(0.5, now = 0) }
        private val other = endpoint("other", domain = "there")

        @Test
        fun `gets no request beyond its limit`() {
            expectThat(placement.choose(listOf(limited), plainRequest, 0)).isEqualTo(limited)
            limited.recordStart(0.0, now = 0)
            limited.recordEnd(now = 0)
            expectThat(placement.choose(listOf(limited), plainRequest, second)).isEqualTo(null)
            expectThat(placement.choose(listOf(limited, other), plainRequest, second)).isEqualTo(other)
            expectThat(placement.choose(listOf(limited, other), plainRequest, 2 * second)).isEqualTo(limited)
        }

        @Test
        fun `gets long prompts first, and any prompt at the end of a turn`() {
            val (short, long) =
                listOf(200, 60_000).map { PlacementRequest("m", it, listOf(PromptPart("own", it)), affinity = null) }
            expectThat(placement.choose(listOf(limited, other), long, 0)).isEqualTo(limited)
            expectThat(placement.choose(listOf(limited, other), short, 0)).isEqualTo(other)
            expectThat(placement.choose(listOf(limited, other), short, 2 * second - 1)).isEqualTo(limited)
        }
    }

    @Nested
    inner class `a prompt` {
        private val engines = List(6) { endpoint("engine$it") }

        @Test
        fun `goes to the same engine from every router if it shares a prefix`() {
            val other = EndpointPlacement(FailureDomainId("here"))
            val subjects = (1..20).map { prompt("subject$it") }
            val chosen = subjects.map { placement.choose(engines, it, 0) }
            expectThat(
                subjects.map { other.choose(engines.shuffled(kotlin.random.Random(3)), it, 0) },
            ).isEqualTo(chosen)
            expectThat(chosen.distinct().size).isGreaterThan(3)
        }

        @Test
        fun `avoids its preferred engine during a long prefill for another router`() {
            val preferred = placement.choose(engines, prompt("subject"), 0)!!
            preferred.remotePrefills.add("other", millis = 3_000.0, now = 0)
            expectThat(placement.choose(engines, prompt("subject"), 0)).isNotEqualTo(preferred)
            preferred.remotePrefills.remove("other")
            expectThat(placement.choose(engines, prompt("subject"), 0)).isEqualTo(preferred)
        }

        @Test
        fun `probes an ejected engine with one request at a time, until it answers`() {
            val preferred = placement.choose(engines, prompt("subject"), 0)!!

            fun isChosen(now: Long) = placement.choose(engines, prompt("subject"), now) === preferred
            preferred.recordUnreachable(0, random)
            val probed = isChosen(3 * second)
            preferred.recordStart(0.0, 3 * second)
            val duringProbe = isChosen(3 * second)
            preferred.recordUnreachable(4 * second, random)
            preferred.recordEnd(4 * second)
            val afterFailedProbe = isChosen(4 * second)
            preferred.recordStart(0.0, 8 * second)
            preferred.recordSuccess(8 * second)
            preferred.recordEnd(8 * second)

            expectThat(listOf(probed, duringProbe, afterFailedProbe, isChosen(60 * second)))
                .isEqualTo(listOf(true, false, false, true))
        }

        @Test
        fun `probes an ejected engine again if the probe ended without telling its health`() {
            val preferred = placement.choose(engines, prompt("subject"), 0)!!
            preferred.recordUnreachable(0, random)
            preferred.recordStart(0.0, 3 * second)
            preferred.recordEnd(3 * second)

            expectThat(placement.choose(engines, prompt("subject"), 3 * second)).isEqualTo(preferred)
        }

        @Test
        fun `avoids its preferred engine while that is ejected`() {
            val preferred = placement.choose(engines, prompt("subject"), 0)!!
            preferred.recordUnreachable(0, random)
            expectThat(placement.choose(engines, prompt("subject"), 0)).isNotEqualTo(preferred)
        }
    }

    @Nested
    inner class `an engine whose answers tell its speed` {
        @Test
        fun `has no queue and free slots`() {
            val idle = endpoint("idle")
            val reading = endpoint("reading").apply { recordStart(prefillMillis = 30.0, now = 0) }
            val announced = endpoint("announced").apply { remotePrefills.add("a", millis = 30.0, now = 0) }
            val full = endpoint("full").apply { recordLoad(ReportedLoad(running = 5, waiting = 0, slots = 8), 0) }
            val queueing =
                endpoint(
                    "queueing",
                ).apply { recordLoad(ReportedLoad(running = 1, waiting = 1, slots = 8), 0) }

            expectThat(listOf(idle, reading, announced, full, queueing).map { it.isUncontended(now = 0) })
                .isEqualTo(listOf(true, false, false, false, false))
        }
    }

    @Nested
    inner class `a failure domain of 13 engines that is cut off` {
        private val engines =
            List(65) { endpoint("engine$it", domain = "domain${it / 13}") }
        private val tick = second / 50

        /** Requests of one router within five seconds of the cut that wait for a connection in vain. */
        private fun requestsInVain(reportsDomains: Boolean): Int {
            var failed = 0
            for (request in 0 until 250) {
                val now = request * tick
                val chosen = placement.choose(engines, prompt("subject$request"), now)!!
                val domain = chosen.listing.failureDomain
                chosen.recordStart(0.0, now)
                placement.reachability.recordSent(domain, now)
                if (domain.value == "domain3") {
                    failed++
                    chosen.recordUnreachable(now, random)
                    if (reportsDomains) placement.reachability.recordUnreachable(domain, chosen.listing.id, now)
                } else {
                    chosen.recordSuccess(now)
                    placement.reachability.recordReached(domain)
                }
                chosen.recordEnd(now)
            }
            return failed
        }

        @Test
        fun `costs one router a probe a second once two engines are found unreachable`() {
            expectThat(requestsInVain(reportsDomains = true)).isLessThanOrEqualTo(2 + 5)
        }

        @Test
        fun `costs it a request for every engine if engines are judged one by one`() {
            expectThat(requestsInVain(reportsDomains = false)).isGreaterThan(13)
        }

        @Test
        fun `gets requests again as soon as one of its engines has answered, and while there are no others`() {
            val cut = engines.filter { it.listing.failureDomain.value == "domain3" }
            cut.take(2).forEach { placement.reachability.recordUnreachable(it.listing.failureDomain, it.listing.id, 0) }
            val domain = cut.first().listing.failureDomain
            val whileCut = placement.reachability.isUnreachable(domain, second / 2)
            val lastResort = placement.choose(cut, plainRequest, second / 2)
            placement.reachability.recordReached(domain)

            expectThat(whileCut to placement.reachability.isUnreachable(domain, second / 2)).isEqualTo(true to false)
            expectThat(lastResort).isNotEqualTo(null)
        }
    }

    @Nested
    inner class `an announced prefill` {
        @Test
        fun `expires if its revocation is lost`() {
            val prefills = RemotePrefills()
            prefills.add("a", millis = 1_000.0, now = 0)
            expectThat(
                listOf(0L, 2 * second, 3 * second).map(prefills::totalMillis),
            ).isEqualTo(listOf(1_000.0, 1_000.0, 0.0))
        }

        @Test
        fun `of an impossible duration is ignored`() {
            val prefills = RemotePrefills()
            listOf(-5.0, 1e9, Double.NaN).forEach { prefills.add("a", it, 0) }
            expectThat(prefills.totalMillis(0)).isEqualTo(0.0)
        }
    }
}
