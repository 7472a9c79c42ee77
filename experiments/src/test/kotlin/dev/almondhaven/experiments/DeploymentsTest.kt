package dev.almondhaven.experiments

import dev.almondhaven.experiments.deployment.DeploymentRun
import dev.almondhaven.experiments.deployment.FaultScripts
import dev.almondhaven.experiments.deployment.InProcessRouter
import dev.almondhaven.experiments.deployment.SampleDeployment
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.io.File

class DeploymentsTest {
    private val examples = File(System.getProperty("almondhaven.root"), "examples")

    @TestFactory
    fun `a deployment violates no invariant during the short fault script`(): List<DynamicTest> =
        SampleDeployment.all(examples).map { sample ->
            dynamicTest(sample.name) {
                val run = DeploymentRun(sample, InProcessRouter.STARTER, FaultScripts.SHORT, callers = 12, seed = 7)

                val violated = run.execute().findings.filterNot { it.held }

                expectThat(violated).isEmpty()
            }
        }
}
