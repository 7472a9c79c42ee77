package dev.almondhaven.gateway.state

import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.ServiceId
import dev.almondhaven.platform.StoreCall
import dev.almondhaven.platform.StoreKind
import dev.almondhaven.platform.StoredObject
import dev.almondhaven.platform.WireSamples
import dev.almondhaven.traffic.TrafficBounds
import io.netty.channel.embedded.EmbeddedChannel
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.seconds

class RoutingStateTest {
    private val bounds = TrafficBounds(8.seconds, 2.seconds, 5.seconds, 0.9, 100.0, 10.seconds, 5.seconds)
    private val routing = RoutingState(bounds, EmbeddedChannel().eventLoop(), NanoClock { 0L })

    private fun configuration(): StoredObject {
        val page = StoreCall.page(StoreKind.CONFIGURATION, WireSamples.storeBody("/objects/config", emptyList()))
        return page!!.objects.single()
    }

    @Nested
    inner class `a router's share of the retry budget` {
        @Test
        fun `follows the number of routers, also of a service that was seen before they were listed`() {
            val budget = routing.retryBudgetOf(ServiceId("engines"))
            val shares =
                listOf(2, 45, 9).map { routers ->
                    routing.setRouters(routers, position = 0)
                    budget.available(now = 0)
                }

            expectThat(shares).isEqualTo(listOf(45.0, 2.0, 10.0))
        }
    }

    @Nested
    inner class `a router that has started` {
        @Test
        fun `is loaded once the configuration and every kind that binds placement is listed`() {
            routing.configure(configuration().asConfiguration()!!)
            val kinds =
                listOf(
                    StoreKind.ENDPOINTS,
                    StoreKind.EVACUATIONS,
                    StoreKind.ROLL_OUTS,
                    StoreKind.ROUTERS,
                    StoreKind.PROMPT_QUARANTINES,
                )
            val loadedAfter =
                kinds.map { kind ->
                    routing.markListed(kind)
                    routing.isLoaded
                }

            expectThat(loadedAfter).isEqualTo(listOf(false, false, false, false, true))
        }
    }
}
