package dev.almondhaven.router.limit

import dev.almondhaven.catalogue.Organisation
import dev.almondhaven.decision.limit.OrganisationLimiter
import dev.almondhaven.decision.limit.OrganisationUsage
import dev.almondhaven.decision.membership.FleetView
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.router.controller.ActorThread
import dev.almondhaven.router.controller.CatalogueHolder
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tracks each organisation's usage and this router's share of its limits. An actor thread recomputes the shares at
 * every tick; it receives no messages, so its mailbox can't fill up.
 */
public class UsageLimiter(
    private val holder: CatalogueHolder,
    private val fleet: FleetView,
    private val clock: NanoClock,
) : AutoCloseable {
    /** Exchanges the usage between routers. */
    public val gossip: UsageGossip = UsageGossip(fleet, clock)

    private val limiters = ConcurrentHashMap<OrganisationId, OrganisationLimiter>()
    private val actor = ActorThread.start<Unit>("limits", MAILBOX_CAPACITY, TICK_INTERVAL, ::refreshShares) {}

    /** The limiter of [organisation]. */
    public fun of(organisation: Organisation): OrganisationLimiter =
        limiters[organisation.id] ?: limiters.computeIfAbsent(organisation.id) {
            OrganisationLimiter(organisation.limits, fleet.members.size, clock.nanos())
        }

    override fun close(): Unit = actor.close()

    private fun refreshShares() {
        val now = clock.nanos()
        val routerCount = fleet.members.size
        limiters.forEach { (id, limiter) ->
            val limits = holder.index.organisation(id)?.limits ?: return@forEach
            limiter.refresh(limits, gossip.usageOfOthers(id), routerCount, now)
        }
        gossip.publish(limiters.mapValues { it.value.reportedUsage }.filterValues { it != OrganisationUsage.NONE })
    }

    private companion object {
        const val MAILBOX_CAPACITY = 2
        val TICK_INTERVAL = 100.milliseconds
    }
}
