package dev.almondhaven.catalogue

import dev.almondhaven.model.AdapterId
import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.TaskClass
import dev.almondhaven.model.VersionId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Lifecycle state of a model version. */
@Serializable
public enum class VersionState {
    /** Takes sessions and requests. */
    @SerialName("active")
    ACTIVE,

    /** Gets no new work; sessions move to the successor. */
    @SerialName("withdrawn")
    WITHDRAWN,
}

/**
 * Price in micro-units of the users' currency per token.
 *
 * @property input micro-units per prompt token.
 * @property output micro-units per generated token.
 */
@Serializable
public data class Price(
    public val input: Double,
    public val output: Double,
)

/**
 * Prior for the expected quality, from 0 to 1, which applies until ratings arrive.
 *
 * @property default quality for a task class that [classes] does not contain.
 * @property classes quality by task class.
 * @property weight number of ratings that this prior counts for.
 */
@Serializable
public data class QualityPrior(
    public val default: Double,
    public val classes: Map<TaskClass, Double> = emptyMap(),
    public val weight: Double = DEFAULT_WEIGHT,
) {
    /** The expected quality for [taskClass]. */
    public fun of(taskClass: TaskClass): Double = classes[taskClass] ?: default

    public companion object {
        /** Number of ratings that a prior counts for by default. */
        public const val DEFAULT_WEIGHT: Double = 20.0
    }
}

/**
 * One stage of a roll-out.
 *
 * @property share fraction of new sessions that start on the version, from 0 to 1.
 * @property minutes how long the stage lasts before the next one starts.
 */
@Serializable
public data class RollOutStep(
    public val share: Double,
    public val minutes: Long,
)

/**
 * A staged roll-out of a version against its predecessor.
 *
 * @property predecessor the version that other new sessions start on and that the canary is compared with.
 * @property startedAt epoch milliseconds at which the first step begins; set when the note is published.
 * @property steps the stages in order; after the last one the version takes all new sessions.
 * @property maximumErrorIncrease increase in error rate over the predecessor that halts the roll-out.
 * @property maximumQualityLoss loss of quality against the predecessor that halts the roll-out.
 * @property maximumLatencyRatio ratio of the latency to the predecessor's that halts the roll-out.
 */
@Serializable
public data class RollOut(
    public val predecessor: VersionId,
    public val startedAt: Long = 0,
    public val steps: List<RollOutStep>,
    public val maximumErrorIncrease: Double = DEFAULT_ERROR_INCREASE,
    public val maximumQualityLoss: Double = DEFAULT_QUALITY_LOSS,
    public val maximumLatencyRatio: Double = DEFAULT_LATENCY_RATIO,
) {
    public companion object {
        public const val DEFAULT_ERROR_INCREASE: Double = 0.02
        public const val DEFAULT_QUALITY_LOSS: Double = 0.05
        public const val DEFAULT_LATENCY_RATIO: Double = 2.0
    }
}

/**
 * A version of a model as described by the release notes.
 *
 * @property successor version that sessions move to once this one is withdrawn.
 * @property promptTokensLimit maximum prompt length of the version in tokens.
 * @property definedIn generation of the note that added or last changed the version; set when the note is applied.
 */
@Serializable
public data class ModelVersion(
    public val model: ModelId,
    public val version: VersionId,
    public val state: VersionState = VersionState.ACTIVE,
    public val price: Price,
    public val quality: QualityPrior,
    public val successor: VersionId? = null,
    public val rollOut: RollOut? = null,
    public val adapters: List<AdapterId> = emptyList(),
    public val promptTokensLimit: Int = DEFAULT_PROMPT_TOKENS_LIMIT,
    public val definedIn: Generation = Generation.NONE,
) {
    /** Model and version together. */
    public val id: ModelVersionId get() = ModelVersionId(model, version)

    public companion object {
        public const val DEFAULT_PROMPT_TOKENS_LIMIT: Int = 128_000
    }
}
