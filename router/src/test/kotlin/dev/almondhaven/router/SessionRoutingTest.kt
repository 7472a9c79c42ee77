package dev.almondhaven.router

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeadersBuilder
import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.catalogue.releaseNote
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.NoteId
import dev.almondhaven.model.Outcome
import dev.almondhaven.model.ResultCode
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class SessionRoutingTest {
    private val deployment = TestDeployment().publish()
    private val models = mutableListOf("slate")

    @AfterAll
    fun stop() {
        deployment.close()
    }

    private fun send(
        model: String = "auto",
        additional: RequestHeadersBuilder.() -> Unit = {},
    ): AggregatedHttpResponse =
        deployment.send("""{"model":"$model","messages":[],"max_tokens":1}""", additional = additional)

    private fun sendWith(token: String?): AggregatedHttpResponse = send { add(TOKEN, checkNotNull(token)) }

    private val AggregatedHttpResponse.version: String? get() = headers().get("x-almondhaven-model")
    private val AggregatedHttpResponse.token: String? get() = headers().get(TOKEN)
    private val AggregatedHttpResponse.moved: String? get() = headers().get("x-almondhaven-session-moved")

    private fun error(response: AggregatedHttpResponse): Pair<Int, Outcome> {
        val detail = Json.decodeFromString(ErrorBody.serializer(), response.contentUtf8()).error
        return detail.code to detail.outcome
    }

    /** Adds the first version of a new model, served by the one engine, and returns the model's name. */
    private fun addModel(): String {
        models += "tagger-${models.size}"
        val model = models.last()
        deployment.publish(
            releaseNote("add-$model") {
                model(model, "1") { price(input = 2.0, output = 2.0) }
                engine("engine-$model", "west", deployment.engineAddress, "$model@1")
                changeOrganisation("roofers") {
                    with(deployment) { roofers() }
                    models.forEach { allow(it) }
                }
            },
        )
        return model
    }

    /** Adds a cheaper second version and withdraws the first if [withdraw]. */
    private fun addSecondVersion(
        model: String,
        withdraw: Boolean = false,
    ) {
        deployment.publish(
            releaseNote("second-$model") {
                model(model, "2") { price(input = 1.0, output = 1.0) }
                engine("engine-$model-2", "west", deployment.engineAddress, "$model@2")
                if (withdraw) withdraw(model, "1", successor = "2")
            },
        )
    }

    @Nested
    inner class `a session` {
        @Test
        fun `keeps its version with a token, also when a cheaper one has come`() {
            val model = addModel()
            val first = send(model)
            addSecondVersion(model)
            val second = sendWith(first.token)

            expectThat(first.version).isEqualTo("$model@1")
            expectThat(second.version).isEqualTo("$model@1")
            expectThat(second.moved).isNull()
        }

        @Test
        fun `keeps its version with an id alone`() {
            val model = addModel()
            send(model) { add(ID, "merchant-7") }
            addSecondVersion(model)
            val second = send(model) { add(ID, "merchant-7") }

            expectThat(second.version).isEqualTo("$model@1")
        }

        @Test
        fun `moves once to the successor when its version is withdrawn`() {
            val model = addModel()
            val first = send(model)
            addSecondVersion(model, withdraw = true)
            val second = sendWith(first.token)
            val third = sendWith(second.token)

            expectThat(second.version).isEqualTo("$model@2")
            expectThat(second.moved).isEqualTo("$model@1 $model@2")
            expectThat(third.version).isEqualTo("$model@2")
            expectThat(third.moved).isNull()
        }

        @Test
        fun `without a successor is refused as not run`() {
            val model = addModel()
            val first = send(model)
            deployment.publish(releaseNote("withdraw-$model") { withdraw(model, "1") })

            expectThat(error(sendWith(first.token)))
                .isEqualTo(ResultCode.SESSION_VERSION_WITHDRAWN.number to Outcome.NOT_RUN)
        }

        @Test
        fun `with a forged token is refused as not run`() {
            val forged = checkNotNull(send().token).replaceAfterLast('.', "AAAA")

            expectThat(error(sendWith(forged))).isEqualTo(ResultCode.SESSION_TOKEN_INVALID.number to Outcome.NOT_RUN)
        }

        @Test
        fun `for another model than its own is refused as not run`() {
            val first = send(addModel())
            val other = send("slate") { add(TOKEN, checkNotNull(first.token)) }

            expectThat(error(other)).isEqualTo(ResultCode.SESSION_MODEL_DIFFERS.number to Outcome.NOT_RUN)
        }
    }

    @Nested
    inner class `a failure domain taken out` {
        @Test
        fun `fails readiness and takes no new work until it returns`() {
            val domain = FailureDomainId("west")
            deployment.publish(ConfigurationEntry.DomainTakenOut(NoteId("out"), "test", domain))
            val readyWhileOut = deployment.get("/health/ready").status()
            val refused = error(send())
            deployment.publish(ConfigurationEntry.DomainReturned(NoteId("back"), "test", domain))

            expectThat(readyWhileOut).isEqualTo(HttpStatus.SERVICE_UNAVAILABLE)
            expectThat(refused).isEqualTo(ResultCode.DOMAIN_OUT_OF_SERVICE.number to Outcome.NOT_RUN)
            expectThat(deployment.get("/health/ready").status()).isEqualTo(HttpStatus.OK)
            expectThat(send().token).isNotNull()
        }
    }

    private companion object {
        const val TOKEN = "x-session-token"
        const val ID = "x-session-id"
    }
}
