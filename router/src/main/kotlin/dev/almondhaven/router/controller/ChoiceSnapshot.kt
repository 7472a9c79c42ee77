package dev.almondhaven.router.controller

import dev.almondhaven.catalogue.CatalogueIndex
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.decision.choice.EvidencePool
import dev.almondhaven.decision.choice.EvidenceSubject
import dev.almondhaven.decision.choice.EvidenceTotals
import dev.almondhaven.decision.choice.TaskClassifier
import dev.almondhaven.decision.choice.VersionEstimate
import dev.almondhaven.decision.rollout.QuarantineSet
import dev.almondhaven.model.TaskClass

/**
 * An immutable snapshot of the evidence about versions, read by the model choice.
 *
 * @property quarantines versions that receive no new sessions.
 * @property taskClasses classes that a caller may declare.
 * @property ratingsDistrusted whether recent ratings are excluded from the estimates.
 */
internal class ChoiceSnapshot(
    val quarantines: QuarantineSet,
    val taskClasses: Set<TaskClass>,
    private val estimates: Map<EvidenceSubject, VersionEstimate>,
    val ratingsDistrusted: Boolean = false,
) {
    /** The estimate for [version] in [taskClass]; only its prior if its definition is newer than the snapshot. */
    fun estimate(
        version: ModelVersion,
        taskClass: TaskClass,
    ): VersionEstimate =
        estimates[EvidenceSubject(version.id, version.definedIn, taskClass)]
            ?: VersionEstimate.of(version, taskClass, emptyMap(), epochMillis = 0)

    companion object {
        private val DEFAULT_CLASSES =
            setOf(TaskClassifier.DRAFTING, TaskClassifier.QUERY, TaskClassifier.TAGGING)

        /** A snapshot without any evidence. */
        val EMPTY: ChoiceSnapshot = ChoiceSnapshot(QuarantineSet.EMPTY, DEFAULT_CLASSES, emptyMap())

        /** Builds the snapshot of [evidence], excluding the time buckets in [distrustedBuckets]. */
        fun of(
            index: CatalogueIndex,
            evidence: EvidenceTotals,
            quarantines: QuarantineSet,
            distrustedBuckets: Set<Long>,
            epochMillis: Long,
        ): ChoiceSnapshot {
            val classes = taskClasses(index)
            val estimates = HashMap<EvidenceSubject, VersionEstimate>()
            for (version in index.catalogue.models) {
                for (taskClass in classes) {
                    val subject = EvidenceSubject(version.id, version.definedIn, taskClass)
                    val buckets = evidence.buckets(subject)
                    val trusted = if (distrustedBuckets.isEmpty()) buckets else buckets - distrustedBuckets
                    estimates[subject] = VersionEstimate.of(version, taskClass, trusted, epochMillis)
                }
            }
            return ChoiceSnapshot(
                quarantines,
                classes,
                estimates,
                distrustsRecentRatings(distrustedBuckets, epochMillis),
            )
        }

        private fun distrustsRecentRatings(
            buckets: Set<Long>,
            epochMillis: Long,
        ): Boolean = buckets.any { it > EvidencePool.bucketOf(epochMillis) - EvidencePool.OPEN_BUCKETS }

        private fun taskClasses(index: CatalogueIndex): Set<TaskClass> =
            DEFAULT_CLASSES +
                index.catalogue.models.flatMap { it.quality.classes.keys } +
                index.catalogue.organisations.flatMap { it.quality.classes.keys }
    }
}
