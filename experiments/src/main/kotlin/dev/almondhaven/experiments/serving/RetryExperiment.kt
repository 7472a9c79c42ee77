package dev.almondhaven.experiments.serving

import dev.almondhaven.decision.retry.FailedAttempt
import dev.almondhaven.decision.retry.RetryBudget
import dev.almondhaven.decision.retry.RetryDecision
import dev.almondhaven.decision.retry.RetryPolicy
import dev.almondhaven.experiments.Experiment
import dev.almondhaven.experiments.ExperimentReport
import dev.almondhaven.experiments.ExperimentReport.Companion.number
import dev.almondhaven.model.Outcome
import dev.almondhaven.model.ResultCode
import org.apache.commons.rng.simple.RandomSource
import kotlin.time.Duration.Companion.seconds

/** Measures attempts per request while a share of all attempts fails, with and without the retry budget. */
public class RetryExperiment : Experiment {
    override val name: String get() = "retries"

    override val about: String get() = "Retry amplification while attempts fail, with a budget and without."

    private class Totals(
        val attempts: Int,
        val failed: Int,
    )

    override fun run(report: ExperimentReport) {
        report.text(
            "Each router sends 1,000 good requests, then $REQUESTS requests while the given part of attempts fails. " +
                "Amplification is attempts per request in the second part. Seed 1.",
        )
        val rows =
            listOf(5, 62, 370).flatMap { routers ->
                listOf(0.05, 0.25, 1.0).flatMap { failing -> listOf(false, true).map { row(routers, failing, it) } }
            }
        val columns = listOf("routers", "failing attempts", "budget", "amplification", "failed requests")
        report.table("Retry amplification", columns, rows)
    }

    private fun row(
        routers: Int,
        failing: Double,
        budgeted: Boolean,
    ): List<String> {
        val random = RandomSource.SPLIT_MIX_64.create(1L)
        val totals = List(routers) { simulateRouter(failing, budgeted) { random.nextDouble() } }
        val requests = routers * REQUESTS.toDouble()
        return listOf(
            "$routers",
            number(failing, 2),
            if (budgeted) "yes" else "no",
            number(totals.sumOf { it.attempts } / requests, 3),
            number(totals.sumOf { it.failed } / requests, 4),
        )
    }

    private fun simulateRouter(
        failing: Double,
        budgeted: Boolean,
        draw: () -> Double,
    ): Totals {
        // Without a budget, the limits are so large that they never prevent a retry.
        val budget = if (budgeted) RetryBudget() else RetryBudget(1.0, Int.MAX_VALUE / 2)
        val policy = RetryPolicy(budget)
        val random = RandomSource.SPLIT_MIX_64.create(2L)
        repeat(GOOD_REQUESTS) { budget.recordSuccess() }
        var attempts = 0
        var failed = 0
        repeat(REQUESTS) {
            // The number of attempts so far, negated once the request has failed for good.
            var tries = 1
            while (draw() < failing) {
                val attempt = FailedAttempt(ResultCode.ENDPOINT_FAILED, Outcome.UNKNOWN, true, tries, 30.seconds)
                if (policy.afterFailure(attempt, random) !is RetryDecision.Retry) {
                    failed++
                    tries = -tries
                    break
                }
                tries++
            }
            if (tries > 0) budget.recordSuccess()
            attempts += if (tries > 0) tries else -tries
        }
        return Totals(attempts, failed)
    }

    private companion object {
        const val GOOD_REQUESTS = 1_000
        const val REQUESTS = 660
    }
}
