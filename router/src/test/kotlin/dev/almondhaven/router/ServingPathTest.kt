package dev.almondhaven.router

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
import kotlin.time.Duration.Companion.milliseconds

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ServingPathTest {
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
        fun `that every endpoint fails is an error with an honest outcome`() {
            engines.forEach { it.behaviour = EngineBehaviour(fault = EngineFault.ERROR) }

            val error = Json.decodeFromString(ErrorBody.serializer(), deployment.send(whole).contentUtf8()).error

            expectThat(error.code to error.outcome).isEqualTo(ResultCode.ENDPOINT_FAILED.number to Outcome.UNKNOWN)
        }
    }
}
