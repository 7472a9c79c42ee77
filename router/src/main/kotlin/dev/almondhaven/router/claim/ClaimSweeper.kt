package dev.almondhaven.router.claim

import dev.almondhaven.decision.claim.ClaimPlacement
import dev.almondhaven.decision.claim.ClaimShard
import dev.almondhaven.decision.membership.FleetView
import dev.almondhaven.decision.membership.RendezvousHash
import dev.almondhaven.model.LogEvent
import dev.almondhaven.router.controller.ActorThread
import dev.almondhaven.store.ObjectStore
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration.Companion.minutes

private val logger = KotlinLogging.logger {}

/**
 * Deletes dated shards that are older than the retention window. Rendezvous hashing assigns each minute to one router,
 * which spreads the listing load over the fleet. Two routers that sweep at the same time do no harm.
 */
internal class ClaimSweeper(
    private val objects: ObjectStore,
    private val view: () -> FleetView,
    private val wallMillis: () -> Long,
) : AutoCloseable {
    private val actor = ActorThread.start<Unit>("claims-sweep", MAILBOX_CAPACITY, INTERVAL, ::sweepIfAssigned) { }

    private fun sweepIfAssigned() {
        val minute = wallMillis() / INTERVAL.inWholeMilliseconds
        val chosen = RendezvousHash.choose("claims/sweep/$minute", view().members, 1) { it.id.value }
        if (chosen.firstOrNull()?.id == view().self.id) sweep()
    }

    /** Deletes expired shards, oldest first, up to [MAX_DELETIONS]; returns how many were deleted. */
    fun sweep(): Int {
        var deleted = 0
        while (deleted < MAX_DELETIONS) {
            val page = objects.list(ClaimPlacement.DATED_PREFIX, limit = PAGE_SIZE).getOrNull() ?: break
            val expired = page.objects.filter { ClaimPlacement.isDeletable(ClaimShard(it.key.value), wallMillis()) }
            val deletedOfPage = expired.count { objects.delete(it.key, it.version).isRight() }
            deleted += deletedOfPage
            if (deletedOfPage < PAGE_SIZE) break
        }
        if (deleted > 0) LogEvent.CLAIM_SHARDS_DELETED.log(logger) { "shards=$deleted" }
        return deleted
    }

    override fun close(): Unit = actor.stop()

    private companion object {
        const val MAILBOX_CAPACITY = 2
        const val PAGE_SIZE = 20
        const val MAX_DELETIONS = 400
        val INTERVAL = 1.minutes
    }
}
