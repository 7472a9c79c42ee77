package dev.almondhaven.decision.choice

import dev.almondhaven.catalogue.ModelVersion

/**
 * How a request is going to be served, with what is expected of it.
 *
 * @property first the version that is tried first.
 * @property escalation the version that is tried when the first answer isn't accepted; null for a single version.
 * @property minimumConfidence the lowest confidence at which the first answer is accepted.
 * @property cost expected cost in micro-units of the users' currency.
 * @property quality expected quality, from 0 to 1.
 * @property meetsTarget whether [quality] reaches the organisation's target.
 * @property isExploration whether the plan is there to learn about [first].
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

/** A version that may serve the request, with what holds for it at this moment. */
public data class Candidate(
    public val version: ModelVersion,
    public val estimate: VersionEstimate,
    public val conditions: VersionConditions = VersionConditions(),
)

/**
 * What holds for a version at this moment.
 *
 * @property utilisation share of its endpoints' slots in use.
 * @property cachedPromptShare share of the prompt that an endpoint has cached.
 */
public data class VersionConditions(
    public val utilisation: Double = 0.0,
    public val cachedPromptShare: Double = 0.0,
)

/**
 * What a plan has to achieve.
 *
 * @property promptTokens estimated length of the prompt.
 * @property outputTokens expected length of the answer.
 * @property target quality to reach, from 0 to 1.
 * @property remainingMillis time until the deadline.
 * @property mayEscalate whether a second step is possible.
 */
public data class Demand(
    public val promptTokens: Int,
    public val outputTokens: Int,
    public val target: Double,
    public val remainingMillis: Long,
    public val mayEscalate: Boolean = true,
)
