package dev.almondhaven.decision.choice

import dev.almondhaven.catalogue.ModelVersion

/**
 * The plan by which a request is served: one version, or a cascade of two.
 *
 * @property first version that is asked first.
 * @property escalation version that is asked if the first answer isn't accepted; null for a single version.
 * @property minimumConfidence lowest confidence at which the first answer is accepted.
 * @property cost expected cost in micro-units of the users' currency.
 * @property quality expected quality, from 0 to 1.
 * @property meetsTarget whether [quality] reaches the organisation's target.
 * @property isExploration whether the plan's purpose is to learn about [first].
 */
public data class Plan(
    public val first: ModelVersion,
    public val escalation: ModelVersion?,
    public val minimumConfidence: ConfidenceBand,
    public val cost: Double,
    public val quality: Double,
    public val meetsTarget: Boolean,
    public val isExploration: Boolean = false,
)

/** A version that may serve the request, with its quality estimate and current conditions. */
public data class Candidate(
    public val version: ModelVersion,
    public val estimate: VersionEstimate,
    public val conditions: VersionConditions = VersionConditions(),
)

/**
 * Current conditions at the endpoints of a version.
 *
 * @property utilisation share of the endpoints' slots in use.
 * @property cachedPromptShare share of the prompt that is in an endpoint's prefix cache.
 */
public data class VersionConditions(
    public val utilisation: Double = 0.0,
    public val cachedPromptShare: Double = 0.0,
)

/**
 * Requirements that a plan has to meet.
 *
 * @property promptTokens estimated length of the prompt in tokens.
 * @property outputTokens expected length of the answer in tokens.
 * @property target required quality, from 0 to 1.
 * @property remainingMillis time until the deadline.
 * @property mayEscalate whether a cascade is allowed.
 */
public data class Demand(
    public val promptTokens: Int,
    public val outputTokens: Int,
    public val target: Double,
    public val remainingMillis: Long,
    public val mayEscalate: Boolean = true,
)
