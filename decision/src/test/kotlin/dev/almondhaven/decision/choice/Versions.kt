package dev.almondhaven.decision.choice

import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.Price
import dev.almondhaven.catalogue.QualityPrior
import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelId
import dev.almondhaven.model.VersionId

/** A version of the model `slate-[name]` with [price] per token and expected [quality]. */
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

/** [version] with what its prior alone says of queries. */
internal fun candidate(version: ModelVersion): Candidate =
    Candidate(version, VersionEstimate.of(version, TaskClassifier.QUERY, emptyMap(), 0))
