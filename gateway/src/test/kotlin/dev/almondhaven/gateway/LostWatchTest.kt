package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.startsWith
import java.util.concurrent.TimeUnit

/** Guards against DRAIN: a router went on sending to endpoints that had left after their watch was lost or cut off. */
class LostWatchTest {
    @Test
    fun `an endpoint that leaves while the watch is lost gets no request after the drain time`() {
        checkLeaving { fixture ->
            fixture.losesEndpointWatches = true
            TimeUnit.MILLISECONDS.sleep(WATCH_SENT_MILLIS)
        }
    }

    @Test
    fun `an endpoint that leaves when the watch has been cut off gets no request after the drain time`() {
        checkLeaving { fixture ->
            fixture.cutsEndpointWatch = true
            while (fixture.cutsEndpointWatch) TimeUnit.MILLISECONDS.sleep(1)
        }
    }

    /** The endpoint that gets the requests leaves after [trouble]. */
    private fun checkLeaving(trouble: (GatewayFixture) -> Unit) {
        val endpoints = List(2) { ScriptedEndpoint { it.respond("") } }
        val fixture = GatewayFixture(endpoints)
        try {
            fixture.call(PATH, "r-0")
            // Requests with an equal prompt go to the endpoint that has it in its cache.
            val preferred = endpoints.indexOfFirst { it.requestHeads.isNotEmpty() }
            trouble(fixture)
            fixture.endpointChanges += WireSamples.endpointChanges(emptyList(), removed = listOf("i-$preferred"))
            fixture.storeRevision = NEXT_REVISION
            TimeUnit.MILLISECONDS.sleep(DRAIN_MILLIS)
            endpoints.forEach { it.requestHeads.clear() }
            val responses = (1..CALLS).map { fixture.call(PATH, "r-$it") }

            expectThat(responses).all { startsWith("HTTP/1.1 200 ") }
            expectThat(endpoints[preferred].requestHeads.toList()).isEmpty()
        } finally {
            fixture.close()
        }
    }

    private companion object {
        const val PATH = "${WireSamples.UNARY_PATH}a"
        const val CALLS = 8
        const val NEXT_REVISION = 6L

        /** The router watches again after a third of the drain time. */
        const val WATCH_SENT_MILLIS = 1_000L

        /** Drain time of the fixture. */
        const val DRAIN_MILLIS = 2_000L
    }
}
