package dev.almondhaven.router.limit

import dev.almondhaven.catalogue.Organisation
import dev.almondhaven.decision.limit.OrganisationUse
import dev.almondhaven.decision.limit.Use
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

    private val uses = ConcurrentHashMap<OrganisationId, OrganisationUse>()
    private val actor = ActorThread.start<Unit>("limits", MAILBOX_CAPACITY, TICK_INTERVAL, ::refreshShares) {}

    /** The usage and limits of [organisation]. */
    public fun of(organisation: Organisation): OrganisationUse =
        uses[organisation.id] ?: uses.computeIfAbsent(organisation.id) {
            OrganisationUse(organisation.limits, fleet.members.size, clock.nanos())
        }

    override fun close(): Unit = actor.close()

    private fun refreshShares() {
        val now = clock.nanos()
        val routerCount = fleet.members.size
        uses.forEach { (id, use) ->
            val limits = holder.index.organisation(id)?.limits ?: return@forEach
            use.refresh(limits, gossip.usageOfOthers(id), routerCount, now)
        }
        gossip.publish(uses.mapValues { it.value.told }.filterValues { it != Use.NONE })
    }

    private companion object {
        const val MAILBOX_CAPACITY = 2
        val TICK_INTERVAL = 100.milliseconds
    }
}
