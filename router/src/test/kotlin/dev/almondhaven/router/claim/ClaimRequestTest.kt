package dev.almondhaven.router.claim

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import dev.almondhaven.catalogue.Service
import dev.almondhaven.catalogue.ServiceCall
import dev.almondhaven.catalogue.ServiceChanges
import dev.almondhaven.model.Outcome
import dev.almondhaven.model.ResultCode
import dev.almondhaven.model.ServiceId
import dev.almondhaven.router.ErrorBody
import dev.almondhaven.router.TestDeployment
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import java.util.UUID
import java.util.concurrent.CompletableFuture

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ClaimRequestTest {
    private val deployment = TestDeployment().also { it.publish(releaseNoteWithOrders(it)) }

    @AfterAll
    fun closeDeployment() {
        deployment.close()
    }

    private fun releaseNoteWithOrders(deployment: TestDeployment) =
        deployment.firstNote().copy(
            services =
                ServiceChanges(
                    added = listOf(Service(ServiceId("orders"), listOf(ServiceCall("POST", "/orders", false)))),
                ),
        )

    private fun sendOrder(
        key: String?,
        body: String = "ten slates",
    ): AggregatedHttpResponse {
        val headers =
            RequestHeaders
                .builder(HttpMethod.POST, "/services/orders/orders")
                .contentType(MediaType.JSON)
                .set("authorization", "Bearer ${TestDeployment.TOKEN}")
        key?.let { headers.set("idempotency-key", it) }
        return deployment.client
            .execute(headers.build(), body)
            .aggregate()
            .join()
    }

    private fun errorOf(response: AggregatedHttpResponse): Pair<Int, Outcome> {
        val detail = Json.decodeFromString(ErrorBody.serializer(), response.contentUtf8()).error
        return detail.code to detail.outcome
    }

    private fun executionsOf(key: String) = deployment.service.records.filter { it.requestId == key }

    @Nested
    inner class `an order` {
        @Test
        fun `without a key is rejected with outcome not_run`() {
            expectThat(errorOf(sendOrder(null))).isEqualTo(ResultCode.CLAIM_KEY_MISSING.number to Outcome.NOT_RUN)
        }

        @Test
        fun `sent twice runs once and returns the first answer to both requests`() {
            val first = sendOrder("order-1")
            val second = sendOrder("order-1")

            expectThat(second.contentUtf8()).isEqualTo(first.contentUtf8())
            expectThat(second.headers().get("x-almondhaven-replayed")).isEqualTo("true")
            expectThat(executionsOf("order-1")).hasSize(1)
        }

        @Test
        fun `with the key of another order is rejected with outcome not_run`() {
            sendOrder("order-2")

            expectThat(errorOf(sendOrder("order-2", "eleven slates")))
                .isEqualTo(ResultCode.CLAIM_KEY_REUSED.number to Outcome.NOT_RUN)
            expectThat(executionsOf("order-2")).hasSize(1)
        }

        @Test
        fun `whose key is older than the retention window is rejected with outcome unknown`() {
            expectThat(errorOf(sendOrder("00000000-0000-7000-8000-000000000000")))
                .isEqualTo(ResultCode.CLAIM_KEY_EXPIRED.number to Outcome.UNKNOWN)
        }

        @Test
        fun `sent many times concurrently runs once`() {
            val key = UUID(System.currentTimeMillis() shl 16 or 0x7000, 1L shl 63).toString()
            val answers =
                List(20) { CompletableFuture.supplyAsync { sendOrder(key).contentUtf8() } }
                    .map { it.join() }
                    .toSet()

            expectThat(answers).hasSize(1)
            expectThat(executionsOf(key)).hasSize(1)
        }
    }
}
