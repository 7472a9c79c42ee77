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
import dev.almondhaven.store.FaultyObjectStore
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class PlatformOutageTest {
    private lateinit var platform: FaultyObjectStore
    private val deployment =
        TestDeployment(wrapObjects = { FaultyObjectStore(it, seed = 1).also { faulty -> platform = faulty } })
            .also { it.publish(releaseNoteWithOrders(it)) }

    @AfterEach
    fun resetFaults() {
        platform.outage = false
        deployment.service.answerDelay = Duration.ZERO
    }

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
        key: String,
        timeoutMillis: Long,
        attempt: Int? = null,
    ): AggregatedHttpResponse {
        val headers =
            RequestHeaders
                .builder(HttpMethod.POST, "/services/orders/orders")
                .contentType(MediaType.JSON)
                .set("authorization", "Bearer ${TestDeployment.TOKEN}")
                .set("idempotency-key", key)
                .setLong("x-timeout-ms", timeoutMillis)
        attempt?.let { headers.setInt("idempotency-attempt", it) }
        return deployment.client
            .execute(headers.build(), "ten slates")
            .aggregate()
            .join()
    }

    private fun errorOf(response: AggregatedHttpResponse): Pair<Int, Outcome> {
        val detail = Json.decodeFromString(ErrorBody.serializer(), response.contentUtf8()).error
        return detail.code to detail.outcome
    }

    /**
     * Whether the request was rejected because the claim on its key was voided. A voided claim rejects requests that
     * arrive within the clock tolerance after it, and the caller has to repeat them.
     */
    private fun isRejectedByVoidedClaim(response: AggregatedHttpResponse): Boolean =
        !response.status().isSuccess && errorOf(response).first == ResultCode.CLAIM_VOIDED.number

    private fun executionsOf(key: String) = deployment.service.records.filter { it.requestId == key }

    @Nested
    inner class `an order during a platform outage` {
        @Test
        fun `is rejected, with outcome not_run only if its caller asserts that it is the first attempt`() {
            platform.outage = true
            val errors = listOf(errorOf(sendOrder("down-1", 300)), errorOf(sendOrder("down-2", 300, attempt = 1)))

            expectThat(errors).isEqualTo(
                listOf(Outcome.UNKNOWN, Outcome.NOT_RUN).map { ResultCode.CLAIM_UNSETTLED.number to it },
            )
            expectThat(executionsOf("down-1") + executionsOf("down-2")).isEmpty()
        }

        @Test
        fun `that was rejected does not run after the outage until it is repeated, and then runs once`() {
            platform.outage = true
            sendOrder("back", 300, attempt = 1)
            platform.outage = false
            expectThat(executionsOf("back")).isEmpty()
            val repeated = generateSequence { sendOrder("back", 20_000) }.first { !isRejectedByVoidedClaim(it) }
            sendOrder("back", 20_000)

            expectThat(repeated.status().code()).isEqualTo(200)
            expectThat(executionsOf("back")).hasSize(1)
        }
    }

    @Nested
    inner class `an order whose deadline passes before its answer` {
        @Test
        fun `runs to its end, and a repeated request gets its answer`() {
            deployment.service.answerDelay = 800.milliseconds
            val first = errorOf(sendOrder("slow", 400))
            val second = sendOrder("slow", 20_000)

            expectThat(first).isEqualTo(ResultCode.DEADLINE_EXCEEDED.number to Outcome.UNKNOWN)
            expectThat(second.headers().get("x-almondhaven-replayed")).isEqualTo("true")
            expectThat(executionsOf("slow")).hasSize(1)
        }
    }
}
