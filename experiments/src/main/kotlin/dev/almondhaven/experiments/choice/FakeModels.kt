package dev.almondhaven.experiments.choice

import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.Price
import dev.almondhaven.catalogue.QualityPrior
import dev.almondhaven.decision.choice.ConfidenceBand
import dev.almondhaven.decision.choice.TaskClassifier
import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelId
import dev.almondhaven.model.TaskClass
import dev.almondhaven.model.VersionId
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource

/** An answer of a simulated model: its true quality and the model's confidence band. */
internal class FakeAnswer(
    val quality: Double,
    val confidence: ConfidenceBand,
)

/** A request of the simulated workload; [difficulty] ranges from 0 to 1 and is hidden from the policies. */
internal class FakeRequest(
    val taskClass: TaskClass,
    val organisation: Int,
    val target: Double,
    val promptTokens: Int,
    val outputTokens: Int,
    val difficulty: Double,
)

/** A simulated model with a known true quality per task class; the prior in its release note is off by [priorError]. */
internal class FakeModel(
    name: String,
    private val skills: Map<TaskClass, Double>,
    outputPrice: Double,
    priorError: Double,
) {
    val version: ModelVersion =
        ModelVersion(
            ModelId(name),
            VersionId("1"),
            price = Price(outputPrice / PROMPT_PRICE_RATIO, outputPrice),
            quality =
                QualityPrior(
                    default = DEFAULT_QUALITY,
                    classes = skills.mapValues { (it.value + priorError).coerceIn(0.05, 0.98) },
                ),
            definedIn = Generation(1),
        )

    /** True mean quality in [taskClass]. */
    fun trueQuality(taskClass: TaskClass): Double = skills.getValue(taskClass)

    fun answer(
        request: FakeRequest,
        random: UniformRandomProvider,
    ): FakeAnswer {
        val skill = skills.getValue(request.taskClass)
        val spread = (1 - skill) * SPREAD
        val quality = (skill + spread * (0.5 - request.difficulty) * 2 + noise(random, 0.05)).coerceIn(0.0, 1.0)
        val logProbability = -(1 - quality) * 1.5 + noise(random, 0.15)
        return FakeAnswer(quality, ConfidenceBand.of(complete = true, meanLogProbability = logProbability))
    }

    private fun noise(
        random: UniformRandomProvider,
        width: Double,
    ): Double = (random.nextDouble() - 0.5) * 2 * width

    companion object {
        private const val PROMPT_PRICE_RATIO = 4.0
        private const val DEFAULT_QUALITY = 0.8
        private const val SPREAD = 0.9

        private fun skills(
            tagging: Double,
            query: Double,
            drafting: Double,
        ): Map<TaskClass, Double> =
            mapOf(
                TaskClassifier.TAGGING to tagging,
                TaskClassifier.QUERY to query,
                TaskClassifier.DRAFTING to drafting,
            )

        /** Nine versions with different costs and qualities. */
        val ALL: List<FakeModel> =
            listOf(
                FakeModel("nano", skills(0.80, 0.60, 0.35), 0.2, 0.06),
                FakeModel("tagger", skills(0.90, 0.45, 0.20), 0.3, -0.05),
                FakeModel("small", skills(0.88, 0.80, 0.60), 0.6, 0.04),
                FakeModel("small-new", skills(0.89, 0.84, 0.64), 0.7, -0.06),
                FakeModel("writer", skills(0.70, 0.78, 0.86), 2.0, -0.04),
                FakeModel("medium", skills(0.92, 0.89, 0.78), 2.4, 0.03),
                FakeModel("medium-new", skills(0.93, 0.90, 0.83), 3.0, -0.05),
                FakeModel("large", skills(0.95, 0.94, 0.91), 9.0, 0.02),
                FakeModel("huge", skills(0.96, 0.96, 0.95), 20.0, 0.01),
            )
    }
}

/** Generates requests of ten organisations: mostly tagging and queries, some drafting from long documents. */
internal class FakeWorkload(
    seed: Long,
) {
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)

    fun next(): FakeRequest {
        val drawn = random.nextDouble()
        val organisation = if (random.nextDouble() < LARGE_SHARE) random.nextInt(3) else 3 + random.nextInt(7)
        val target = TARGETS[organisation]
        val difficulty = random.nextDouble()
        return when {
            drawn < 0.5 -> FakeRequest(TaskClassifier.TAGGING, organisation, target, 300, 20, difficulty)
            drawn < 0.9 -> FakeRequest(TaskClassifier.QUERY, organisation, target, 600, 200, difficulty)
            else -> FakeRequest(TaskClassifier.DRAFTING, organisation, target, 20_000, 1_200, difficulty)
        }
    }

    companion object {
        private const val LARGE_SHARE = 0.7
        private val TARGETS = doubleArrayOf(0.80, 0.85, 0.82, 0.75, 0.78, 0.80, 0.84, 0.86, 0.88, 0.90)
    }
}
