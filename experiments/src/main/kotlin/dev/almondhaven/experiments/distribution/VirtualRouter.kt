package dev.almondhaven.experiments.distribution

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.decision.distribution.ConfigurationFreshness
import dev.almondhaven.decision.distribution.ConfigurationHolder
import dev.almondhaven.decision.distribution.GossipExchange
import dev.almondhaven.decision.distribution.PeerRequest
import dev.almondhaven.decision.distribution.WatchCall
import dev.almondhaven.decision.distribution.WatchPlan
import dev.almondhaven.decision.distribution.WatchSchedule
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.decision.membership.Membership
import dev.almondhaven.decision.membership.MembershipSettings
import dev.almondhaven.model.Generation
import dev.almondhaven.router.controller.CatalogueHolder
import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs the membership, gossip and watch logic of one router in virtual time over a [VirtualNetwork]. */
internal class VirtualRouter(
    val self: Member,
    seeds: List<String>,
    plan: WatchPlan,
    private val fleet: VirtualFleet,
    private val random: UniformRandomProvider,
) {
    private val catalogues = CatalogueHolder()
    private val now: Long get() = fleet.scheduler.now
    private val freshness = ConfigurationFreshness(STALE_AFTER, now)
    private val membership = Membership(self, MembershipSettings(), random, now).also { it.setContactAddresses(seeds) }
    private val holder =
        object : ConfigurationHolder {
            override val catalogue: Catalogue get() = catalogues.catalogue

            override fun offer(catalogue: Catalogue): Boolean = catalogues.offer(catalogue).also { recordGeneration() }
        }
    private val exchange = GossipExchange(membership, holder, freshness)
    private val schedule = WatchSchedule(plan, random, now)
    private val deferred = mutableListOf<() -> Unit>()
    private var seen: Catalogue? = null
    private var isCallInProgress = false

    /** Generations in the order in which this router put them in force, with the times. */
    val inForce = mutableListOf<InForce>()

    var paused = false
        private set
    var stopped = false
        private set

    val memberIds: List<String> get() = membership.view.members.map { it.id.value }
    val generation: Generation get() = holder.generation
    val stale: Boolean get() = freshness.staleSince(now, generation) != null

    class InForce(
        val generation: Generation,
        val at: Long,
    )

    private fun recordGeneration() {
        if (inForce.lastOrNull()?.generation != generation) inForce += InForce(generation, now)
    }

    fun start() {
        fleet.scheduler.after((random.nextInt(TICK_MILLIS) + 1).milliseconds, ::tick)
    }

    fun pause() {
        paused = true
    }

    fun resume() {
        paused = false
        deferred.toList().also { deferred.clear() }.forEach { it() }
    }

    /** Stops the router without notifying its peers. */
    fun stop() {
        stopped = true
    }

    /** Runs [action] now, or on [resume] while the router is paused; drops it once the router is stopped. */
    fun whenRunning(action: () -> Unit) {
        when {
            stopped -> Unit
            paused -> deferred += action
            else -> action()
        }
    }

    private fun tick() {
        if (stopped) return
        if (!paused) {
            exchange.tick(now).forEach(::send)
            if (!isCallInProgress) callPlatform()
        }
        fleet.scheduler.after(TICK_MILLIS.milliseconds, ::tick)
    }

    /** Serves a message of a peer; [answer] receives the response and is not called for an unknown [path]. */
    fun serve(
        path: String,
        body: String,
        answer: (String) -> Unit,
    ) {
        when (path) {
            GossipExchange.PROBE -> {
                answer(exchange.answerProbe(now, body))
            }

            GossipExchange.FETCH -> {
                answer(exchange.answerFetch(body))
            }

            GossipExchange.INDIRECT_PROBE -> {
                send(exchange.relayedProbe(now, body)) { answer(GossipExchange.indirectAnswer(it)) }
            }
        }
    }

    private fun send(request: PeerRequest): Unit = send(request) {}

    private fun send(
        request: PeerRequest,
        answered: (Boolean) -> Unit,
    ) {
        fleet.network.post(this, request.to, request.path, request.body) { answer ->
            whenRunning {
                exchange.onCompleted(now, request, answer).forEach(::send)
                answered(answer != null)
            }
        }
    }

    private fun callPlatform() {
        val domain = self.failureDomain.value
        val askedAt = now
        val call = schedule.next(now, membership.view)
        isCallInProgress = call != WatchCall.NONE
        when (call) {
            WatchCall.NONE -> Unit
            WatchCall.READ -> read(domain, askedAt)
            WatchCall.WATCH -> fleet.platform.watch(domain, seen) { whenRunning { onWatchEnd(domain, askedAt, it) } }
        }
    }

    private fun read(
        domain: String,
        askedAt: Long,
    ): Unit = fleet.platform.read(domain) { whenRunning { onHeadRead(askedAt, it) } }

    private fun onWatchEnd(
        domain: String,
        askedAt: Long,
        changed: Boolean?,
    ) {
        when (changed) {
            true -> return read(domain, now)
            false -> seen?.let { freshness.recordConfirmation(it.generation, askedAt) }
            null -> Unit
        }
        completeCall(changed != null)
    }

    private fun onHeadRead(
        askedAt: Long,
        head: Catalogue?,
    ) {
        if (head != null) {
            seen = head
            holder.offer(head)
            freshness.recordConfirmation(head.generation, askedAt)
        }
        completeCall(head != null)
    }

    private fun completeCall(answered: Boolean) {
        isCallInProgress = false
        if (answered) schedule.succeeded(now, membership.view.members.size, stale) else schedule.failed(now)
    }

    private companion object {
        const val TICK_MILLIS = 100
        val STALE_AFTER: Duration = 45.seconds
    }
}
