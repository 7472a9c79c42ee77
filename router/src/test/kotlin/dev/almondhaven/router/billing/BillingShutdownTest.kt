package dev.almondhaven.router.billing

import dev.almondhaven.decision.billing.BillingStatement
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.router.TestDeployment
import dev.almondhaven.store.BillingStore
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class BillingShutdownTest {
    private val request = """{"model":"auto","messages":[{"role":"user","content":"hi"}],"max_tokens":3}"""

    @Nested
    inner class `a router that stops` {
        @Test
        fun `has stored one record for each dispatched request on the platform`() {
            val deployment = TestDeployment().publish()
            deployment.use {
                repeat(3) { deployment.send(request) }
                deployment.send("{")
            }
            val objects = BillingStore(deployment.objects).readAll().getOrNull().orEmpty()
            val statement = BillingStatement.of(objects.asSequence())

            expectThat(statement.records.map { Triple(it.organisation, it.version, it.completionTokens) })
                .isEqualTo(
                    List(3) { Triple(OrganisationId("roofers"), ModelVersionId.parse("slate@1"), 3L) },
                )
        }
    }
}
