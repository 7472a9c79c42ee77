package dev.almondhaven.gateway.peer

import dev.almondhaven.gateway.state.RoutingState
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.ServiceId
import dev.almondhaven.traffic.EndpointListing
import dev.almondhaven.traffic.TrafficBounds
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.net.DatagramSocket
import java.net.InetAddress
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What routers tell each other of endpoints, over real sockets. */
class PeerMessengerTest {
    private val endpoint = EndpointId("e-1")

    private inner class Router(
        private val routers: Int,
    ) {
        val address = "127.0.0.1:${DatagramSocket(0, InetAddress.getLoopbackAddress()).use { it.localPort }}"
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        private val loop = group.next()
        private val clock = NanoClock.SYSTEM
        private val bounds = TrafficBounds(1.seconds, 3.seconds, 5.seconds, 0.9, 50.0, 10.seconds, 5.seconds)
        val routing = RoutingState(bounds, loop, clock)
        val messenger =
            PeerMessenger(
                group,
                address,
                loop,
                clock,
                routing,
                RandomSource.SPLIT_MIX_64.create(1L),
            ).also { it.listen() }

        init {
            run {
                routing.setRouters(routers, 0)
                routing.update(listing())
            }
        }

        fun <T> run(action: () -> T): T = loop.submit<T> { action() }.get()

        fun failureRate(): Double =
            run {
                routing
                    .endpoint(endpoint)!!
                    .state.failureRate
                    .at(clock.nanos())
            }

        private fun listing() =
            EndpointListing(
                endpoint,
                ServiceId("s"),
                "127.0.0.1:9",
                FailureDomainId("here"),
                "v1",
                slots = 8,
                leaving = false,
                coldLeft = Duration.ZERO,
                startedAtMillis = 1,
            )
    }

    private val started = ArrayList<Router>()

    private fun router(routers: Int) = Router(routers).also { started += it }

    /** Two routers of a fleet of [routers], of which the first one tells the second one. */
    private fun pair(routers: Int): Pair<Router, Router> {
        val sender = router(routers)
        val receiver = router(routers)
        sender.run { sender.messenger.setPeers(listOf(receiver.address)) }
        return sender to receiver
    }

    private fun announceFailures(sender: Router): Unit =
        sender.run { repeat(3) { sender.messenger.announceFailure(endpoint) } }

    @AfterEach
    fun stop(): Unit = started.forEach { it.group.shutdownGracefully(0, 0, TimeUnit.SECONDS) }

    @Nested
    inner class `an endpoint that breaks connections` {
        @Test
        fun `is avoided by routers that have not lost a request there themselves`() {
            val (sender, receiver) = pair(routers = 8)
            announceFailures(sender)
            repeat(MAX_CHECKS) { if (receiver.failureRate() == 0.0) TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS) }
            expectThat(receiver.failureRate()).isGreaterThan(0.4)
        }

        @Test
        fun `is not told in a small fleet, whose routers see enough by themselves`() {
            val (sender, receiver) = pair(routers = 5)
            announceFailures(sender)
            sender.run { sender.messenger.announceLimit(endpoint, 3.0) }
            // The limit is sent after the failures would have been.
            repeat(MAX_CHECKS) { if (limit(receiver) == null) TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS) }
            expectThat(limit(receiver) to receiver.failureRate()).isEqualTo(3.0 to 0.0)
        }

        private fun limit(router: Router): Double? =
            router.run {
                router.routing
                    .endpoint(endpoint)!!
                    .state.rateLimit.perSecond
            }
    }

    private companion object {
        const val MAX_CHECKS = 200
        const val CHECK_MILLIS = 20L
    }
}
