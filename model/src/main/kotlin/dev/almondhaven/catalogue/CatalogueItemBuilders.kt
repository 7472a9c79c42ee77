package dev.almondhaven.catalogue

import dev.almondhaven.model.AdapterId
import dev.almondhaven.model.ModelId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.ServiceId
import dev.almondhaven.model.TaskClass
import dev.almondhaven.model.VersionId

/** Describes one model version; by default it has price 0 and quality 1. */
@ReleaseNoteDsl
public class ModelVersionBuilder internal constructor() {
    private var price = Price(0.0, 0.0)
    private var quality = QualityPrior(1.0)
    private var successor: VersionId? = null
    private var rollOut: RollOut? = null
    private var adapters = emptyList<AdapterId>()

    /** Price in micro-units per prompt token and per generated token. */
    public fun price(
        input: Double,
        output: Double,
    ) {
        price = Price(input, output)
    }

    /** Expected quality, with exceptions by task class. */
    public fun quality(
        default: Double,
        vararg classes: Pair<TaskClass, Double>,
    ) {
        quality = QualityPrior(default, classes.toMap())
    }

    /** The version that sessions move to once this one is withdrawn. */
    public fun successor(version: String) {
        successor = VersionId(version)
    }

    /** Rolls the version out in [steps] against [predecessor]. */
    public fun rollOut(
        predecessor: String,
        vararg steps: RollOutStep,
    ) {
        rollOut = RollOut(VersionId(predecessor), steps = steps.toList())
    }

    /** Adds an adapter that is loaded on top of the version. */
    public fun adapter(id: String) {
        adapters = adapters + AdapterId(id)
    }

    internal fun build(
        model: ModelId,
        version: VersionId,
    ): ModelVersion =
        ModelVersion(
            model,
            version,
            price = price,
            quality = quality,
            successor = successor,
            rollOut = rollOut,
            adapters = adapters,
        )
}

/** Describes one organisation; by default it has no quality target. */
@ReleaseNoteDsl
public class OrganisationBuilder internal constructor() {
    private var tokenDigests = emptyList<String>()
    private var share = 1.0
    private var quality = QualityTarget(0.0)
    private var limits = OrganisationLimits()
    private var models = emptyList<AllowedModel>()
    private var services = emptyList<ServiceId>()

    /** Lower-case hexadecimal SHA-256 digest of one of its bearer tokens. */
    public fun tokenDigest(digest: String) {
        tokenDigests = tokenDigests + digest
    }

    /** Weight in fair sharing. */
    public fun share(weight: Double) {
        share = weight
    }

    /** Quality that its answers must have on average. */
    public fun quality(
        default: Double,
        vararg classes: Pair<TaskClass, Double>,
    ) {
        quality = QualityTarget(default, classes.toMap())
    }

    /** Limits over the whole fleet. */
    public fun limits(
        concurrency: Int,
        tokensPerMinute: Long,
    ) {
        limits = OrganisationLimits(concurrency, tokensPerMinute)
    }

    /** Allows [versions] of [model], or every version if none is given. */
    public fun allow(
        model: String,
        vararg versions: String,
    ) {
        models = models + AllowedModel(ModelId(model), versions.map { VersionId(it) })
    }

    /** Allows a plain service. */
    public fun allowService(id: String) {
        services = services + ServiceId(id)
    }

    internal fun build(id: OrganisationId): Organisation =
        Organisation(id, tokenDigests, share, quality, limits, models, services)
}

/** Describes one plain service. */
@ReleaseNoteDsl
public class ServiceBuilder internal constructor() {
    private var calls = emptyList<ServiceCall>()

    /** Declares a call of the service. */
    public fun call(
        method: String,
        path: String,
        idempotent: Boolean,
    ) {
        calls = calls + ServiceCall(method, path, idempotent)
    }

    internal fun build(id: ServiceId): Service = Service(id, calls)
}
