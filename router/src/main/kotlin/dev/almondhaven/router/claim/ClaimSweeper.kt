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
 * Deletes the dated shards from before the retention window. Each minute falls to another router, so that the reading
 * is spread; two that sweep at once do no harm.
 */
internal class ClaimSweeper(
    private val objects: ObjectStore,
    private val view: () -> FleetView,
    private val wallMillis: () -> Long,
) : AutoCloseable {
    private val duty = ActorThread.start<Unit>("claims-sweep", RING, INTERVAL, ::sweepIfMine) { }

    private fun sweepIfMine() {
        val minute = wallMillis() / INTERVAL.inWholeMilliseconds
        val chosen = RendezvousHash.choose("claims/sweep/$minute", view().members, 1) { it.id.value }
        if (chosen.firstOrNull()?.id == view().self.id) sweep()
    }

    /** Deletes the oldest shards as long as they are due; returns how many. */
    fun sweep(): Int {
        var deleted = 0
        while (deleted < MOST_DELETIONS) {
            val page = objects.list(ClaimPlacement.DATED_PREFIX, limit = PAGE).getOrNull() ?: break
            val due = page.objects.filter { ClaimPlacement.isDeletable(ClaimShard(it.key.value), wallMillis()) }
            val done = due.count { objects.delete(it.key, it.version).isRight() }
            deleted += done
            if (done < PAGE) break
        }
        if (deleted > 0) LogEvent.CLAIM_SHARDS_DELETED.log(logger) { "shards=$deleted" }
        return deleted
    }

    override fun close(): Unit = duty.stop()

    private companion object {
        const val RING = 2
        const val PAGE = 20
        const val MOST_DELETIONS = 400
        val INTERVAL = 1.minutes
    }
}
