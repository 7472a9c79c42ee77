package dev.almondhaven.decision.rollout

import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.RouterId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a version is tested for. */
@Serializable
public enum class TrialMeasure {
    @SerialName("error_rate")
    ERROR_RATE,

    @SerialName("latency")
    LATENCY,

    @SerialName("ratings")
    RATINGS,
}

/** What a version was compared with. */
@Serializable
public enum class TrialReference {
    /** Its predecessor's traffic during the roll-out. */
    @SerialName("predecessor")
    PREDECESSOR,

    /** Its own traffic of the last day. */
    @SerialName("own_past")
    OWN_PAST,
}

/**
 * The evidence that a version is bad.
 *
 * @property logEvidence natural logarithm of the test's evidence.
 * @property threshold the logarithm that it had to exceed.
 * @property candidateCount observations of the version.
 * @property candidateMean their mean: a share of errors, of slow answers, or of lost quality.
 * @property referenceCount observations of what it was compared with.
 * @property referenceMean their mean.
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
 * A version that gets no new sessions.
 *
 * @property definedIn generation that introduced the definition which turned out bad; a note that defines the version
 *   anew ends the quarantine.
 * @property at epoch milliseconds of the decision.
 * @property by the router that decided.
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
