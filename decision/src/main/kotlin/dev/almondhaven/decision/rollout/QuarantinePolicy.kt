package dev.almondhaven.decision.rollout

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.VersionState
import dev.almondhaven.decision.choice.EvidencePool
import dev.almondhaven.decision.choice.EvidenceSubject
import dev.almondhaven.decision.choice.EvidenceTotals
import dev.almondhaven.decision.choice.Tally
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.RouterId

/** Decides which versions go into quarantine, on the evidence that one router holds. */
public class QuarantinePolicy(
    private val self: RouterId,
    limits: TrialLimits,
) {
    private val trial = VersionTrial(limits)

    /**
     * New quarantines for [catalogue] beside those [held]. Quarantines that rest on ratings alone never cover more than
     * half of the versions in service, since ratings come from outside. [recent] is what came in lately, in windows of
     * several lengths.
     */
    public fun decide(
        catalogue: Catalogue,
        held: QuarantineSet,
        evidence: EvidenceTotals,
        recent: List<Map<EvidenceSubject, Tally>>,
        epochMillis: Long,
    ): List<Quarantine> {
        val active = catalogue.models.filter { it.state == VersionState.ACTIVE }
        val byId = active.associateBy { it.id }
        val past = VersionTrial.pastBuckets(EvidencePool.bucketOf(epochMillis))
        val windows = recent.map { TrialWindow(it, RatingAnomalyDetector.trustsRatings(it, evidence, past)) }
        var byRatings = active.count { held.find(it)?.evidence?.measure == TrialMeasure.RATINGS }
        return active.filterNot { held.contains(it) }.mapNotNull { version ->
            val found = trial.evaluate(version, predecessor(version, byId), evidence, windows, epochMillis)
            val byRating = found?.measure == TrialMeasure.RATINGS
            when {
                found == null -> {
                    null
                }

                byRating && (byRatings + 1) * 2 > active.size -> {
                    null
                }

                else -> {
                    if (byRating) byRatings++
                    Quarantine(version.id, version.definedIn, epochMillis, self, found)
                }
            }
        }
    }

    private fun predecessor(
        version: ModelVersion,
        byId: Map<ModelVersionId, ModelVersion>,
    ): ModelVersion? = version.rollOut?.let { byId[ModelVersionId(version.model, it.predecessor)] }
}
