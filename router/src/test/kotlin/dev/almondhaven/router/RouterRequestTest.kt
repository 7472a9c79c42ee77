package dev.almondhaven.router

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import dev.almondhaven.model.Outcome
import dev.almondhaven.model.ResultCode
import dev.almondhaven.standins.EngineBehaviour
import dev.almondhaven.standins.EngineFault
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RouterRequestTest {
    private val deployment = TestDeployment().publish()

    private val unaryRequest = """{"model":"auto","messages":[{"role":"user","content":"hi"}],"max_tokens":3}"""
    private val streamedRequest = """{"stream":true,"messages":[],"max_tokens":3}"""

    @BeforeEach
    fun resetEngine() {
        deployment.engine.behaviour = EngineBehaviour()
    }

    @AfterAll
    fun closeDeployment() {
        deployment.close()
    }

    private fun errorOf(response: AggregatedHttpResponse): Pair<Int, Outcome> {
        val detail = Json.decodeFromString(ErrorBody.serializer(), response.contentUtf8()).error
        return detail.code to detail.outcome
    }

    private fun eventLabelsOf(response: AggregatedHttpResponse): List<String> =
        response
            .contentUtf8()
            .trim()
            .split("\n\n")
            .map { it.substringBefore("\ndata:") }

    @Nested
    inner class `a request to a model` {
        @Test
        fun `returns the complete answer and names the version that produced it`() {
            val response = deployment.send(unaryRequest)

            expectThat(response.status()).isEqualTo(HttpStatus.OK)
            expectThat(response.headers().get("x-almondhaven-model")).isEqualTo("slate@1")
            expectThat(response.contentUtf8().contains("token1 token2 token3")).isEqualTo(true)
        }

        @Test
        fun `is streamed in order with exactly one end event`() {
            val response = deployment.send(streamedRequest)

            expectThat(eventLabelsOf(response)).containsExactly("id: 1", "id: 2", "id: 3", "id: 4", "data: [DONE]")
        }

        @Test
        fun `is sent to the engine once`() {
            val before = deployment.engine.records.size
            deployment.send(unaryRequest)

            expectThat(deployment.engine.records).hasSize(before + 1)
        }
    }

    @Nested
    inner class `a call to a plain service` {
        @Test
        fun `is forwarded with its path and query`() {
            val response = deployment.send("", "/services/orders/stock/slates?size=3", HttpMethod.GET)

            expectThat(response.status()).isEqualTo(HttpStatus.OK)
            expectThat(deployment.service.records.map { it.model }).containsExactly("GET /stock/slates?size=3")
        }

        @Test
        fun `that is not declared is rejected with outcome not_run`() {
            val response = deployment.send("", "/services/orders/orders", HttpMethod.DELETE)

            expectThat(errorOf(response)).isEqualTo(ResultCode.UNKNOWN_SERVICE.number to Outcome.NOT_RUN)
        }
    }

    @Nested
    inner class `an invalid request` {
        @Test
        fun `is rejected with outcome not_run while the router has no configuration`() {
            TestDeployment().use { unconfigured ->
                val ready =
                    unconfigured.client
                        .get("/health/ready")
                        .aggregate()
                        .join()

                expectThat(ready.status().isSuccess).isFalse()
                expectThat(errorOf(unconfigured.send(unaryRequest)))
                    .isEqualTo(ResultCode.NOT_CONFIGURED.number to Outcome.NOT_RUN)
            }
        }

        @Test
        fun `is rejected with the result code of its fault`() {
            val codes =
                listOf(
                    deployment.send("{"),
                    deployment.send("{}"),
                    deployment.send("""{"model":"granite","messages":[]}"""),
                    deployment.send(unaryRequest, token = "wrong"),
                    deployment.send("", path = "/nowhere"),
                    deployment.send("x".repeat(9_000_000)),
                ).map { errorOf(it) }

            expectThat(codes).containsExactly(
                ResultCode.MALFORMED_REQUEST.number to Outcome.NOT_RUN,
                ResultCode.MALFORMED_REQUEST.number to Outcome.NOT_RUN,
                ResultCode.UNKNOWN_MODEL.number to Outcome.NOT_RUN,
                ResultCode.UNKNOWN_TOKEN.number to Outcome.NOT_RUN,
                ResultCode.UNKNOWN_PATH.number to Outcome.NOT_RUN,
                ResultCode.BODY_TOO_LARGE.number to Outcome.NOT_RUN,
            )
        }
    }

    @Nested
    inner class `an engine` {
        @Test
        fun `that sends malformed chunks ends the stream with one error event`() {
            deployment.engine.behaviour = EngineBehaviour(fault = EngineFault.GARBAGE)

            expectThat(eventLabelsOf(deployment.send(streamedRequest))).containsExactly("event: error")
        }

        @Test
        fun `that breaks off its stream ends the answer with one error event`() {
            deployment.engine.behaviour = EngineBehaviour(fault = EngineFault.HALF_ANSWER)

            expectThat(eventLabelsOf(deployment.send(streamedRequest))).containsExactly("id: 1", "event: error")
        }

        @Test
        fun `that sends half a body causes an ANSWER_MALFORMED error`() {
            deployment.engine.behaviour = EngineBehaviour(fault = EngineFault.HALF_ANSWER)

            expectThat(errorOf(deployment.send(unaryRequest)))
                .isEqualTo(ResultCode.ANSWER_MALFORMED.number to Outcome.UNKNOWN)
        }
    }
}
