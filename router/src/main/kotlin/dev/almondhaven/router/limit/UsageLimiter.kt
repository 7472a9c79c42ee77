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
 * Keeps each organisation's use and this router's part of its limits. The parts are set on a duty thread; its ring
 * carries no messages, so it can't fill up.
 */
public class UsageLimiter(
    private val holder: CatalogueHolder,
    private val fleet: FleetView,
    private val clock: NanoClock,
) : AutoCloseable {
    /** What the routers tell each other about their use. */
    public val gossip: UsageGossip = UsageGossip(fleet, clock)

    private val uses = ConcurrentHashMap<OrganisationId, OrganisationLimiter>()
    private val duty = ActorThread.start<Unit>("limits", RING_CAPACITY, TICK, ::refresh) {}

    /** The use of [organisation]. */
    public fun of(organisation: Organisation): OrganisationLimiter =
        uses[organisation.id] ?: uses.computeIfAbsent(organisation.id) {
            OrganisationLimiter(organisation.limits, fleet.members.size, clock.nanos())
        }

    override fun close(): Unit = duty.close()

    private fun refresh() {
        val now = clock.nanos()
        val routers = fleet.members.size
        uses.forEach { (id, use) ->
            val limits = holder.index.organisation(id)?.limits ?: return@forEach
            use.refresh(limits, gossip.usageOfOthers(id), routers, now)
        }
        gossip.tell(uses.mapValues { it.value.reportedUsage }.filterValues { it != OrganisationUsage.NONE })
    }

    private companion object {
        const val RING_CAPACITY = 2
        val TICK = 100.milliseconds
    }
}
