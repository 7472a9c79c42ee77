package dev.almondhaven.router.filter

import dev.almondhaven.catalogue.CatalogueIndex
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.decision.rollout.QuarantineSet
import dev.almondhaven.decision.rollout.RollOutAssignment
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.controller.CatalogueHolder

/**
 * Which versions a request may run on. The model choice asks for the candidates; the dispatcher asks again immediately
 * before every dispatch, of retries, hedges and escalations too, since catalogue and quarantines change meanwhile.
 */
internal class VersionPolicy(
    private val holder: CatalogueHolder,
    private val quarantines: () -> QuarantineSet,
) {
    /** Versions that [exchange] may run on, after the organisation's rights, its own selector, quarantine, roll-outs. */
    fun candidates(
        exchange: Exchange,
        key: String,
        epochMillis: Long,
    ): List<ModelVersion> {
        val index = holder.index
        val covered = covered(index, exchange)
        if (!choosesFreely(exchange)) return covered
        val inReach = covered.filter { index.endpoints(it.id).isNotEmpty() }.ifEmpty { covered }
        return RollOutAssignment.eligible(quarantines().usable(inReach), key, epochMillis)
    }

    /** Why [exchange] may not be dispatched to its version now, or null when it may. */
    fun dispatchRefusal(exchange: Exchange): Refusal? {
        val version = exchange.version ?: return null
        val index = holder.index
        val outcome = exchange.journal.errorOutcome()
        if (!index.mayRun(exchange.organisation.id, version.id)) {
            return Refusal(ResultCode.UNKNOWN_MODEL, "${version.id} is no longer allowed", outcome)
        }
        val current = index.version(version.id) ?: version
        val alreadyAnswering = exchange.resumeAfter > 0
        if (alreadyAnswering || !choosesFreely(exchange) || !quarantines().contains(current)) return null
        val usable = quarantines().usable(covered(index, exchange))
        if (usable.any { it.id == version.id }) return null
        return Refusal(ResultCode.VERSION_QUARANTINED, "${version.id} is in quarantine", outcome)
    }

    /** Whether the request is bound neither by its session nor by the caller's naming a version. */
    fun choosesFreely(exchange: Exchange): Boolean =
        exchange.pinnedVersion == null && (exchange.call as? Call.Model)?.selector !is ModelSelector.Version

    private fun covered(
        index: CatalogueIndex,
        exchange: Exchange,
    ): List<ModelVersion> {
        val call = exchange.call as? Call.Model ?: return emptyList()
        val pinned = exchange.pinnedVersion
        return index.allowedVersions(exchange.organisation.id).filter { version ->
            if (pinned != null) version.id == pinned else call.selector.covers(version)
        }
    }

    private fun ModelSelector.covers(version: ModelVersion): Boolean =
        when (this) {
            ModelSelector.Any -> true
            is ModelSelector.Model -> version.model == model
            is ModelSelector.Version -> version.id == id
        }
}
