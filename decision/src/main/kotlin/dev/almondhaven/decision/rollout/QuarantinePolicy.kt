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

/** Decides which versions to quarantine, from the evidence that one router has. */
public class QuarantinePolicy(
    private val self: RouterId,
    limits: TrialLimits,
) {
    private val trial = VersionTrial(limits)

    /**
     * New quarantines for the versions in [catalogue], in addition to those in [quarantines]. At most half of the
     * versions in service are quarantined because of ratings, since ratings come from an external service. [recent]
     * holds the latest evidence in windows of several lengths.
     */
    public fun decide(
        catalogue: Catalogue,
        quarantines: QuarantineSet,
        evidence: EvidenceTotals,
        recent: List<Map<EvidenceSubject, Tally>>,
        epochMillis: Long,
    ): List<Quarantine> {
        val active = catalogue.models.filter { it.state == VersionState.ACTIVE }
        val byId = active.associateBy { it.id }
        val past = VersionTrial.pastBuckets(EvidencePool.bucketOf(epochMillis))
        val windows = recent.map { TrialWindow(it, RatingAnomalyDetector.trustsRatings(it, evidence, past)) }
        var quarantinedByRatings = active.count { quarantines.find(it)?.evidence?.measure == TrialMeasure.RATINGS }
        return active.filterNot { quarantines.contains(it) }.mapNotNull { version ->
            val trialEvidence = trial.evaluate(version, predecessor(version, byId), evidence, windows, epochMillis)
            val isRatingBased = trialEvidence?.measure == TrialMeasure.RATINGS
            when {
                trialEvidence == null -> {
                    null
                }

                isRatingBased && (quarantinedByRatings + 1) * 2 > active.size -> {
                    null
                }

                else -> {
                    if (isRatingBased) quarantinedByRatings++
                    Quarantine(version.id, version.definedIn, epochMillis, self, trialEvidence)
                }
            }
        }
    }

    private fun predecessor(
        version: ModelVersion,
        byId: Map<ModelVersionId, ModelVersion>,
    ): ModelVersion? = version.rollOut?.let { byId[ModelVersionId(version.model, it.predecessor)] }
}
