package dev.almondhaven.operator

import com.github.ajalt.clikt.testing.test
import dev.almondhaven.billing.BatchName
import dev.almondhaven.billing.BillingObject
import dev.almondhaven.billing.BillingRecord
import dev.almondhaven.billing.SealedBatch
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.RequestId
import dev.almondhaven.model.RouterId
import dev.almondhaven.standins.ObjectStoreServer
import dev.almondhaven.standins.StandInServer
import dev.almondhaven.store.BillingStore
import dev.almondhaven.store.InMemoryObjectStore
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class BillCommandsTest {
    private val objects = InMemoryObjectStore()
    private val server = StandInServer.start { ObjectStoreServer(objects).addTo(it) }
    private val first =
        BillingRecord(
            RequestId("one"),
            OrganisationId("roofers, north"),
            endedAt = 3_600_000,
            version = ModelVersionId.parse("slate@1"),
            promptTokens = 5,
            completionTokens = 3,
            costMicros = 11,
        )

    init {
        store(1, first)
        store(2, first)
        store(3, first.copy(costMicros = 12), hour = 2)
    }

    private fun store(
        number: Long,
        record: BillingRecord,
        hour: Long = 1,
    ) {
        val batch = SealedBatch(BatchName(RouterId("a"), number), hour * 3_600_000, listOf(record))
        BillingStore(objects).store(BillingObject(listOf(batch)))
    }

    @AfterAll
    fun stop() {
        server.close()
    }

    private fun bill(arguments: String) =
        operatorCommand().test("bill $arguments --platform http://${server.hostAndPort}")

    @Nested
    inner class `bill export` {
        @Test
        fun `prints each request once`() {
            expectThat(bill("export --to 1970010101").stdout).isEqualTo(
                "request,organisation,ended_at,model,service,prompt_tokens,completion_tokens,cost_micros," +
                    "result_code\r\n" +
                    "one,\"roofers, north\",3600000,slate@1,,5,3,11,0\r\n",
            )
        }
    }

    @Nested
    inner class `bill verify` {
        @Test
        fun `counts identical duplicate records`() {
            expectThat(bill("verify --to 1970010101").stdout)
                .isEqualTo("1 requests, 0 batches stored more than once, 1 duplicate records\n")
        }

        @Test
        fun `fails if a request has differing records`() {
            expectThat(bill("verify").statusCode).isEqualTo(ExitCode.CONFLICT)
        }
    }
}
