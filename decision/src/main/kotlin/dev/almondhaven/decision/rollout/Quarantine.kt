package dev.almondhaven.decision.rollout

import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.RouterId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The measure in which a version was found to be bad. */
@Serializable
public enum class TrialMeasure {
    @SerialName("error_rate")
    ERROR_RATE,

    @SerialName("latency")
    LATENCY,

    @SerialName("ratings")
    RATINGS,
}

/** The reference that a version was compared with. */
@Serializable
public enum class TrialReference {
    /** Traffic of its predecessor during the roll-out. */
    @SerialName("predecessor")
    PREDECESSOR,

    /** Its own traffic of the last day. */
    @SerialName("own_past")
    OWN_PAST,
}

/**
 * The test result that shows that a version is bad.
 *
 * @property logEvidence natural logarithm of the evidence.
 * @property threshold value that [logEvidence] had to exceed.
 * @property candidateCount number of observations of the version.
 * @property candidateMean mean of these observations: the share of errors or slow answers, or the average quality loss.
 * @property referenceCount number of observations of the reference.
 * @property referenceMean mean of the reference's observations.
 */
@Serializable
public data class TrialEvidence(
    public val measure: TrialMeasure,
    public val reference: TrialReference,
    public val logEvidence: Double,
    public val threshold: Double,
    public val candidateCount: Long,
    public val candidateMean: Double,
    public val referenceCount: Long,
    public val referenceMean: Double,
)

/**
 * The decision that a version gets no new sessions.
 *
 * @property definedIn configuration generation that introduced the bad definition of the version; a configuration note
 *   that redefines the version ends the quarantine.
 * @property at time of the decision in epoch milliseconds.
 * @property by router that made the decision.
 */
@Serializable
public data class Quarantine(
    public val version: ModelVersionId,
    public val definedIn: Generation,
    public val at: Long,
    public val by: RouterId,
    public val evidence: TrialEvidence,
) {
    internal val subject: QuarantineSubject get() = QuarantineSubject(version, definedIn)
}

internal data class QuarantineSubject(
    val version: ModelVersionId,
    val definedIn: Generation,
)
