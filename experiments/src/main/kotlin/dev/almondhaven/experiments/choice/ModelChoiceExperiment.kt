package dev.almondhaven.experiments.choice

import dev.almondhaven.experiments.Experiment
import dev.almondhaven.experiments.ExperimentReport

/** Measures model choice and the quarantine of faulty versions. */
public class ModelChoiceExperiment : Experiment {
    override val name: String = "model-choice"
    override val about: String = "Cost at the quality target, exposure to bad versions, decision time."

    override fun run(report: ExperimentReport) {
        report.text(INTRODUCTION)
        listOf(0.01, 0.05, 0.2).forEach { CostMeasurement(it).run(report) }
        DecisionTimeMeasurement().run(report)
        ExposureMeasurement().run(report)
    }

    private companion object {
        val INTRODUCTION =
            """
            Fake models with known true quality and price, seeded, virtual clock: a day of 400,000 requests of ten
            organisations, half tagging, four tenths queries, a tenth drafting; nine versions whose release notes are
            off by up to 0.06 in quality. Shortfall is the mean, over all requests, of what an organisation's mean
            quality in a task class lacks of its target. Every policy sees the same requests.
            """.trimIndent()
    }
}
