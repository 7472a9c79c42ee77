package dev.almondhaven.decision.choice

import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.Price
import dev.almondhaven.catalogue.QualityPrior
import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelId
import dev.almondhaven.model.VersionId

/** A version of the model `slate-[name]` that costs [price] per output token, with prior [quality]. */
internal fun version(
    name: String,
    price: Double = 1.0,
    quality: Double = 0.9,
    promptTokensLimit: Int = 10_000,
    definedIn: Long = 1,
): ModelVersion =
    ModelVersion(
        ModelId("slate-$name"),
        VersionId("1"),
        price = Price(price / 3, price),
        quality = QualityPrior(quality),
        promptTokensLimit = promptTokensLimit,
        definedIn = Generation(definedIn),
    )

/** A candidate of [version], with an estimate for queries that is based on the prior alone. */
internal fun candidate(version: ModelVersion): Candidate =
    Candidate(version, VersionEstimate.of(version, TaskClassifier.QUERY, emptyMap(), 0))
