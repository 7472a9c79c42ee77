package dev.almondhaven.decision.rollout

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.VersionState
import dev.almondhaven.model.ModelVersionId
import kotlinx.serialization.Serializable

/**
 * Progress of the roll-out of one version.
 *
 * @property share share of new sessions that currently start on the version; 0 in quarantine.
 * @property halted whether the version is in quarantine.
 */
@Serializable
public data class RollOutProgress(
    public val version: ModelVersionId,
    public val predecessor: ModelVersionId,
    public val share: Double,
    public val halted: Boolean,
)

/**
 * A router's report to operators on roll-outs and quarantines.
 *
 * @property ratingsDistrusted whether ratings are currently ignored because those of most versions dropped at once.
 */
@Serializable
public data class RollOutReport(
    public val quarantines: List<Quarantine> = emptyList(),
    public val rollOuts: List<RollOutProgress> = emptyList(),
    public val ratingsDistrusted: Boolean = false,
) {
    public companion object {
        /** Path in the peer protocol that returns the report. */
        public const val PEER_PATH: String = "roll-outs"

        /** The report for [catalogue] at [epochMillis]. */
        public fun of(
            catalogue: Catalogue,
            quarantines: QuarantineSet,
            ratingsDistrusted: Boolean,
            epochMillis: Long,
        ): RollOutReport {
            val active = catalogue.models.filter { it.state == VersionState.ACTIVE }
            val progress = active.mapNotNull { progress(it, quarantines, epochMillis) }
            return RollOutReport(quarantines.all, progress, ratingsDistrusted)
        }

        private fun progress(
            version: ModelVersion,
            quarantines: QuarantineSet,
            epochMillis: Long,
        ): RollOutProgress? {
            val rollOut = version.rollOut ?: return null
            val halted = quarantines.contains(version)
            val share = if (halted) 0.0 else RollOutAssignment.share(rollOut, epochMillis)
            val predecessor = ModelVersionId(version.model, rollOut.predecessor)
            return RollOutProgress(version.id, predecessor, share, halted)
        }
    }
}
