package dev.almondhaven.experiments.distribution

import dev.almondhaven.decision.distribution.WatchPlan
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.RouterId
import org.apache.commons.rng.simple.RandomSource
import kotlin.time.Duration

/**
 * Simulates routers in virtual time with the production logic and message codec. A seed determines the schedule.
 *
 * ```
 * val fleet = VirtualFleet(seed = 1)
 * repeat(5) { fleet.start("west") }
 * fleet.run(30.seconds)
 * ```
 */
internal class VirtualFleet(
    seed: Long,
    private val plan: WatchPlan = WatchPlan(),
) {
    val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    val scheduler = VirtualScheduler()
    val network = VirtualNetwork(scheduler, random)
    val platform = VirtualPlatform(scheduler, random)
    private val started = mutableListOf<VirtualRouter>()

    /** Routers that have not been stopped. */
    val routers: List<VirtualRouter> get() = started.filter { !it.stopped }

    /** Every router ever started, including stopped ones. */
    val allRouters: List<VirtualRouter> get() = started

    /** Starts a router in [domain] at [address], with the addresses of the first routers as gossip seeds. */
    fun start(
        domain: String,
        address: String = "10.0.${started.size / ADDRESSES}.${started.size % ADDRESSES}:8081",
    ): VirtualRouter {
        val id = RouterId("$domain-${random.nextLong().toULong().toString(HEXADECIMAL)}")
        val seeds = started.take(SEEDS).map { it.self.peerAddress }
        val router = VirtualRouter(Member(id, FailureDomainId(domain), address), seeds, plan, this, random)
        started += router
        network.attach(router)
        router.start()
        return router
    }

    /** Stops [router] without notice and starts a new one at its address. */
    fun restart(router: VirtualRouter): VirtualRouter {
        router.stop()
        return start(router.self.failureDomain.value, router.self.peerAddress)
    }

    fun run(span: Duration): Unit = scheduler.run(span)

    /** Whether every running router has exactly the running routers as members and the newest generation. */
    fun hasConverged(): Boolean {
        val ids = routers.map { it.self.id.value }.sorted()
        return routers.all { it.memberIds == ids && it.generation == platform.head.generation }
    }

    /** Describes the generation and members of every running router, for assertion messages. */
    fun describe(): String =
        routers.joinToString("\n", "head ${platform.head.generation}\n") { router ->
            "${router.self.id} at ${router.self.peerAddress}: generation ${router.generation}, sees ${router.memberIds}"
        }

    /** Runs in steps of [step] until [condition] holds; returns the time this took, or null once [limit] has passed. */
    fun runUntil(
        limit: Duration,
        step: Duration,
        condition: () -> Boolean,
    ): Duration? {
        var spent = Duration.ZERO
        while (!condition()) {
            if (spent >= limit) return null
            run(step)
            spent += step
        }
        return spent
    }

    private companion object {
        const val SEEDS = 5
        const val ADDRESSES = 250
        const val HEXADECIMAL = 16
    }
}
