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
            .also { it.publish(noteWithOrders(it)) }

    @AfterEach
    fun calm() {
        platform.outage = false
        deployment.service.answerDelay = Duration.ZERO
    }

    @AfterAll
    fun stop() {
        deployment.close()
    }

    private fun noteWithOrders(deployment: TestDeployment) =
        deployment.firstNote().copy(
            services =
                ServiceChanges(
                    added = listOf(Service(ServiceId("orders"), listOf(ServiceCall("POST", "/orders", false)))),
                ),
        )

    private fun order(
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

    private fun error(response: AggregatedHttpResponse): Pair<Int, Outcome> {
        val detail = Json.decodeFromString(ErrorBody.serializer(), response.contentUtf8()).error
        return detail.code to detail.outcome
    }

    /** A void claim keeps back what arrives within the tolerance of clocks after it; its caller sends again. */
    private fun isHeldBack(response: AggregatedHttpResponse): Boolean =
        !response.status().isSuccess && error(response).first == ResultCode.CLAIM_VOIDED.number

    private fun runsOf(key: String) = deployment.service.records.filter { it.requestId == key }

    @Nested
    inner class `while the platform is down an order` {
        @Test
        fun `is refused, as not run only if its caller vouches that it is the first`() {
            platform.outage = true
            val errors = listOf(error(order("down-1", 300)), error(order("down-2", 300, attempt = 1)))

            expectThat(errors).isEqualTo(
                listOf(Outcome.UNKNOWN, Outcome.NOT_RUN).map { ResultCode.CLAIM_UNSETTLED.number to it },
            )
            expectThat(runsOf("down-1") + runsOf("down-2")).isEmpty()
        }

        @Test
        fun `that was refused stays not run when the platform is back, and runs once when it is repeated`() {
            platform.outage = true
            order("back", 300, attempt = 1)
            platform.outage = false
            expectThat(runsOf("back")).isEmpty()
            val repeated = generateSequence { order("back", 20_000) }.first { !isHeldBack(it) }
            order("back", 20_000)

            expectThat(repeated.status().code()).isEqualTo(200)
            expectThat(runsOf("back")).hasSize(1)
        }
    }

    @Nested
    inner class `an order whose caller doesn't wait for its answer` {
        @Test
        fun `runs to its end, and a repeat gets its answer`() {
            deployment.service.answerDelay = 800.milliseconds
            val first = error(order("slow", 400))
            val second = order("slow", 20_000)

            expectThat(first).isEqualTo(ResultCode.DEADLINE_EXCEEDED.number to Outcome.UNKNOWN)
            expectThat(second.headers().get("x-almondhaven-replayed")).isEqualTo("true")
            expectThat(runsOf("slow")).hasSize(1)
        }
    }
}
