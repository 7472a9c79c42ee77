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
    private val silence = EndpointSettings(firstByteDeadline = 200.milliseconds, tokenDeadline = 200.milliseconds)
    private val deployment = TestDeployment(moreEngines = 2, endpointSettings = silence).publish()
    private val engines = listOf(deployment.engine) + deployment.moreEngines

    private val whole = """{"messages":[],"max_tokens":6}"""
    private val streamed = """{"stream":true,"messages":[],"max_tokens":6}"""
    private val everyEvent = (1..7).map { "id: $it" } + "data: [DONE]"

    @BeforeEach
    fun calm() {
        engines.forEach { it.behaviour = EngineBehaviour() }
    }

    @AfterAll
    fun stop() {
        deployment.close()
    }

    /** Gives [fault] to every engine but the last one. */
    private fun spoil(
        fault: EngineFault,
        resumes: Boolean = true,
    ) {
        engines.dropLast(1).forEach { it.behaviour = EngineBehaviour(fault = fault) }
        engines.last().behaviour = EngineBehaviour(resumes = resumes)
    }

    private fun events(): List<String> =
        deployment
            .send(streamed)
            .contentUtf8()
            .trim()
            .split("\n\n")
            .map { it.substringBefore("\ndata:") }

    @Nested
    inner class `a streamed answer whose endpoint is lost midway` {
        @ParameterizedTest
        @ValueSource(booleans = [true, false])
        fun `goes on at another without gap or repetition`(resumes: Boolean) {
            spoil(EngineFault.HALF_ANSWER, resumes)

            repeat(6) { expectThat(events()).isEqualTo(everyEvent) }
        }

        @Test
        fun `goes on when the endpoint only falls silent`() {
            spoil(EngineFault.SILENT_MIDWAY)

            expectThat(events()).isEqualTo(everyEvent)
        }

        @Test
        fun `ends with one numbered error when no other is left`() {
            engines.forEach { it.behaviour = EngineBehaviour(fault = EngineFault.HALF_ANSWER) }

            expectThat(events()).containsExactly("id: 1", "id: 2", "id: 3", "event: error")
        }
    }

    @Nested
    inner class `a whole answer` {
        @Test
        fun `comes from another endpoint when the first fails`() {
            spoil(EngineFault.ERROR)

            expectThat(List(6) { deployment.send(whole).status().code() }.toSet()).containsExactly(200)
        }

        @Test
        fun `comes from another endpoint when the first takes the request and never answers`() {
            spoil(EngineFault.SILENT)

            expectThat(deployment.send(whole).status().code()).isEqualTo(200)
        }

        @Test
        fun `that every endpoint fails is an error with an honest outcome`() {
            engines.forEach { it.behaviour = EngineBehaviour(fault = EngineFault.ERROR) }

            val error = Json.decodeFromString(ErrorBody.serializer(), deployment.send(whole).contentUtf8()).error

            expectThat(error.code to error.outcome).isEqualTo(ResultCode.ENDPOINT_FAILED.number to Outcome.UNKNOWN)
        }
    }

    @Nested
    inner class `an endpoint that can't be reached` {
        @Test
        fun `leaves a request that truly has not run`() {
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
    inner class `a caller that leaves` {
        @Test
        fun `cancels the engine's work`() {
            engines.forEach { it.behaviour = EngineBehaviour(betweenTokens = 20.milliseconds) }
            val before = engines.sumOf { it.cancellations }
            val response = deployment.sendStreaming("""{"stream":true,"messages":[],"max_tokens":100000}""")
            response.split().headers().join()
            response.abort()

            expectThat(eventually { engines.sumOf { it.cancellations } == before + 1 }).isTrue()
            expectThat(eventually { engines.all { it.runningNow == 0 } }).isTrue()
        }
    }

    @Nested
    inner class `a planned stop` {
        @Test
        fun `fails readiness first and cuts no request`() {
            val slow = EngineBehaviour(timeToFirstToken = 400.milliseconds)
            TestDeployment(slow).publish().use { leaving ->
                val answer = CompletableFuture.supplyAsync { leaving.send(whole) }
                check(eventually { leaving.engine.records.isNotEmpty() }) { "the request didn't reach the engine" }
                val drained = CompletableFuture.runAsync { leaving.router.drain() }
                val unready = eventually { leaving.get("/health/ready").status().code() == 503 }
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
