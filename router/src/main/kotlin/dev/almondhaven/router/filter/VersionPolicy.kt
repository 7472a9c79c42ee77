package dev.almondhaven.router.filter

import dev.almondhaven.catalogue.CatalogueIndex
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.decision.rollout.QuarantineSet
import dev.almondhaven.decision.rollout.RollOutAssignment
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.controller.CatalogueHolder

/**
 * Decides which versions a request may run on. The model choice takes its candidates from here; the dispatcher checks
 * again immediately before every dispatch, including retries, hedges and escalations, since the catalogue and the
 * quarantines may have changed in between.
 */
internal class VersionPolicy(
    private val holder: CatalogueHolder,
    private val quarantines: () -> QuarantineSet,
) {
    /**
     * The versions that [exchange] may run on, given the organisation's permissions, the requested model, quarantines
     * and roll-outs. Requests with the same [rollOutKey] are on the same side of a roll-out.
     */
    fun candidates(
        exchange: Exchange,
        rollOutKey: String,
        epochMillis: Long,
    ): List<ModelVersion> {
        val index = holder.index
        val matching = matchingVersions(index, exchange)
        if (!hasFreeVersionChoice(exchange)) return matching
        val withEndpoints = matching.filter { index.endpoints(it.id).isNotEmpty() }.ifEmpty { matching }
        return RollOutAssignment.eligible(quarantines().usable(withEndpoints), rollOutKey, epochMillis)
    }

    /** The refusal of [exchange] if it must not be dispatched to its version now; null if it may be. */
    fun dispatchRefusal(exchange: Exchange): Refusal? {
        val version = exchange.version ?: return null
        val index = holder.index
        val outcome = exchange.journal.errorOutcome()
        if (!index.mayRun(exchange.organisation.id, version.id)) {
            return Refusal(
                ResultCode.UNKNOWN_MODEL,
                "the organisation may no longer use model version ${version.id}",
                outcome,
            )
        }
        val current = index.version(version.id) ?: version
        val isResuming = exchange.resumeAfter > 0
        if (isResuming || !hasFreeVersionChoice(exchange) || !quarantines().contains(current)) return null
        val usable = quarantines().usable(matchingVersions(index, exchange))
        if (usable.any { it.id == version.id }) return null
        return Refusal(ResultCode.VERSION_QUARANTINED, "model version ${version.id} is quarantined", outcome)
    }

    /** Whether neither the session nor the caller has fixed the version of the request. */
    fun hasFreeVersionChoice(exchange: Exchange): Boolean =
        exchange.pinnedVersion == null && (exchange.call as? Call.Model)?.selector !is ModelSelector.Version

    private fun matchingVersions(
        index: CatalogueIndex,
        exchange: Exchange,
    ): List<ModelVersion> {
        val call = exchange.call as? Call.Model ?: return emptyList()
        val pinned = exchange.pinnedVersion
        return index.allowedVersions(exchange.organisation.id).filter { version ->
            if (pinned != null) version.id == pinned else call.selector.matches(version)
        }
    }

    private fun ModelSelector.matches(version: ModelVersion): Boolean =
        when (this) {
            ModelSelector.Any -> true
            is ModelSelector.Model -> version.model == model
            is ModelSelector.Version -> version.id == id
        }
}
