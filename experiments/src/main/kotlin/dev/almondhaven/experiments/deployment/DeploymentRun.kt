package dev.almondhaven.experiments.deployment

import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Observations of a run and the results of the invariant checks. */
public class DeploymentResult(
    public val observations: Observations,
    public val findings: List<Finding>,
)

/** One run of a sample deployment through a script of faults. */
public class DeploymentRun(
    private val sample: SampleDeployment,
    private val starter: RouterStarter,
    private val script: FaultScript,
    private val callers: Int,
    private val seed: Long,
) {
    /** Runs the whole script under load and checks the invariants. */
    public fun execute(): DeploymentResult =
        DeploymentBench.start(sample, starter, seed).use { bench ->
            bench.startCallers(callers)
            val start = System.nanoTime()
            script.steps.forEach { step ->
                sleepUntil(start, step.at)
                step.action(bench)
            }
            sleepUntil(start, script.length)
            val observations = bench.finish()
            DeploymentResult(observations, InvariantChecker.check(observations))
        }

    private fun sleepUntil(
        start: Long,
        moment: Duration,
    ) {
        val remaining = start + moment.inWholeNanoseconds - System.nanoTime()
        if (remaining > 0) TimeUnit.NANOSECONDS.sleep(remaining)
    }
}
