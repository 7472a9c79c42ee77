package dev.almondhaven.router

import dev.almondhaven.catalogue.releaseNote
import dev.almondhaven.model.Outcome
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.settings.EndpointSettings
import dev.almondhaven.standins.EngineBehaviour
import dev.almondhaven.standins.EngineFault
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EndpointFailoverTest {
    private val shortDeadlines =
        EndpointSettings(firstByteDeadline = 200.milliseconds, tokenDeadline = 200.milliseconds)
    private val deployment = TestDeployment(extraEngineCount = 2, endpointSettings = shortDeadlines).publish()
    private val engines = listOf(deployment.engine) + deployment.extraEngines

    private val unaryRequest = """{"messages":[],"max_tokens":6}"""
    private val streamedRequest = """{"stream":true,"messages":[],"max_tokens":6}"""
    private val allEventLabels = (1..7).map { "id: $it" } + "data: [DONE]"

    @BeforeEach
    fun resetEngines() {
        engines.forEach { it.behaviour = EngineBehaviour() }
    }

    @AfterAll
    fun closeDeployment() {
        deployment.close()
    }

    /** Injects [fault] into every engine but the last one. */
    private fun injectFault(
        fault: EngineFault,
        resumes: Boolean = true,
    ) {
        engines.dropLast(1).forEach { it.behaviour = EngineBehaviour(fault = fault) }
        engines.last().behaviour = EngineBehaviour(supportsResume = resumes)
    }

    private fun streamedEventLabels(): List<String> =
        deployment
            .send(streamedRequest)
            .contentUtf8()
            .trim()
            .split("\n\n")
            .map { it.substringBefore("\ndata:") }

    @Nested
    inner class `a streamed answer whose endpoint fails midway` {
        @ParameterizedTest
        @ValueSource(booleans = [true, false])
        fun `resumes on another endpoint without gaps or repeated events`(resumes: Boolean) {
            injectFault(EngineFault.HALF_ANSWER, resumes)

            repeat(6) { expectThat(streamedEventLabels()).isEqualTo(allEventLabels) }
        }

        @Test
        fun `resumes on another endpoint when the first stops sending`() {
            injectFault(EngineFault.SILENT_MIDWAY)

            expectThat(streamedEventLabels()).isEqualTo(allEventLabels)
        }

        @Test
        fun `ends with one error event when no other endpoint is left`() {
            engines.forEach { it.behaviour = EngineBehaviour(fault = EngineFault.HALF_ANSWER) }

            expectThat(streamedEventLabels()).containsExactly("id: 1", "id: 2", "id: 3", "event: error")
        }
    }

    @Nested
    inner class `a non-streaming request` {
        @Test
        fun `is retried on another endpoint when the first one fails`() {
            injectFault(EngineFault.ERROR)

            expectThat(List(6) { deployment.send(unaryRequest).status().code() }.toSet()).containsExactly(200)
        }

        @Test
        fun `is retried on another endpoint when the first one accepts it and never responds`() {
            injectFault(EngineFault.SILENT)

            expectThat(deployment.send(unaryRequest).status().code()).isEqualTo(200)
        }

        @Test
        fun `that fails on every endpoint returns an error with outcome unknown`() {
            engines.forEach { it.behaviour = EngineBehaviour(fault = EngineFault.ERROR) }

            val error = Json.decodeFromString(ErrorBody.serializer(), deployment.send(unaryRequest).contentUtf8()).error

            expectThat(error.code to error.outcome).isEqualTo(ResultCode.ENDPOINT_FAILED.number to Outcome.UNKNOWN)
        }
    }

    @Nested
    inner class `an endpoint that refuses connections` {
        @Test
        fun `returns an error with outcome not_run`() {
            val closedPort = ServerSocket(0).use { "127.0.0.1:${it.localPort}" }
            val note =
                releaseNote("unreachable", reason = "test") {
                    model("ghost", "1") {
                        price(input = 1.0, output = 2.0)
                        quality(0.1)
                    }
                    engine("ghost", "west", closedPort, "ghost@1")
                    changeOrganisation("roofers") {
                        with(deployment) { roofers() }
                        allow("slate")
                        allow("ghost")
                    }
                }
            deployment.publish(note)
            val response = deployment.send("""{"model":"ghost","messages":[]}""")
            val error = Json.decodeFromString(ErrorBody.serializer(), response.contentUtf8()).error

            expectThat(error.code to error.outcome)
                .isEqualTo(ResultCode.ENDPOINT_UNREACHABLE.number to Outcome.NOT_RUN)
        }
    }

    @Nested
    inner class `a caller that disconnects` {
        @Test
        fun `cancels its request on the engine`() {
            engines.forEach { it.behaviour = EngineBehaviour(interTokenDelay = 20.milliseconds) }
            val before = engines.sumOf { it.cancellations }
            val response = deployment.sendStreaming("""{"stream":true,"messages":[],"max_tokens":100000}""")
            response.split().headers().join()
            response.abort()

            expectThat(eventually { engines.sumOf { it.cancellations } == before + 1 }).isTrue()
            expectThat(eventually { engines.all { it.runningRequests == 0 } }).isTrue()
        }
    }

    @Nested
    inner class `a drain` {
        @Test
        fun `fails the readiness check first and completes running requests`() {
            val slow = EngineBehaviour(timeToFirstToken = 400.milliseconds)
            TestDeployment(slow).publish().use { draining ->
                val answer = CompletableFuture.supplyAsync { draining.send(unaryRequest) }
                check(eventually { draining.engine.records.isNotEmpty() }) { "the request didn't reach the engine" }
                val drained = CompletableFuture.runAsync { draining.router.drain() }
                val unready = eventually { draining.get("/health/ready").status().code() == 503 }
                drained.join()

                expectThat(unready to answer.join().status().code()).isEqualTo(true to 200)
            }
        }
    }

    private fun eventually(condition: () -> Boolean): Boolean {
        repeat(500) {
            if (condition()) return true
            TimeUnit.MILLISECONDS.sleep(10)
        }
        return false
    }
}
