package dev.almondhaven.catalogue

import dev.almondhaven.model.ModelId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.ServiceId
import dev.almondhaven.model.TaskClass
import dev.almondhaven.model.VersionId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What happens when no allowed plan reaches the organisation's quality target. */
@Serializable
public enum class TargetMissedRule {
    /** Serve with the best allowed plan and report that in the response. */
    @SerialName("best_available")
    BEST_AVAILABLE,

    /** Reject the request without running it. */
    @SerialName("refuse")
    REFUSE,
}

/**
 * Average quality that answers must reach, from 0 to 1.
 *
 * @property default target for a task class that [classes] does not contain.
 */
@Serializable
public data class QualityTarget(
    public val default: Double,
    public val classes: Map<TaskClass, Double> = emptyMap(),
    public val whenMissed: TargetMissedRule = TargetMissedRule.BEST_AVAILABLE,
) {
    /** The target for [taskClass]. */
    public fun of(taskClass: TaskClass): Double = classes[taskClass] ?: default
}

/**
 * A model that an organisation may use.
 *
 * @property versions the allowed versions; empty allows every version of the model.
 */
@Serializable
public data class AllowedModel(
    public val model: ModelId,
    public val versions: List<VersionId> = emptyList(),
) {
    /** Whether the organisation may use the version [id]. */
    public fun allows(id: ModelVersionId): Boolean = id.model == model && (versions.isEmpty() || id.version in versions)
}

/**
 * Limits of one organisation over the whole fleet.
 *
 * @property concurrency maximum number of concurrent requests.
 * @property tokensPerMinute maximum number of prompt and generated tokens per minute.
 */
@Serializable
public data class OrganisationLimits(
    public val concurrency: Int = DEFAULT_CONCURRENCY,
    public val tokensPerMinute: Long = DEFAULT_TOKENS_PER_MINUTE,
) {
    public companion object {
        public const val DEFAULT_CONCURRENCY: Int = 1_000
        public const val DEFAULT_TOKENS_PER_MINUTE: Long = 10_000_000
    }
}

/**
 * A customer with its permissions, limits and quality target.
 *
 * @property tokenDigests lower-case hexadecimal SHA-256 digests of its bearer tokens.
 * @property share weight in fair queueing; under overload, twice the share gets twice the capacity.
 */
@Serializable
public data class Organisation(
    public val id: OrganisationId,
    public val tokenDigests: List<String>,
    public val share: Double = 1.0,
    public val quality: QualityTarget,
    public val limits: OrganisationLimits = OrganisationLimits(),
    public val models: List<AllowedModel> = emptyList(),
    public val services: List<ServiceId> = emptyList(),
) {
    /** Whether the organisation may use [id]. */
    public fun allows(id: ModelVersionId): Boolean = models.any { it.allows(id) }

    /** Whether the organisation may call [service]. */
    public fun allows(service: ServiceId): Boolean = service in services
}
