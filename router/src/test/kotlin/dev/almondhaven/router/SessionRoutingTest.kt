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
    private val modelNames = mutableListOf("slate")

    @AfterAll
    fun closeDeployment() {
        deployment.close()
    }

    private fun send(
        model: String = "auto",
        configureHeaders: RequestHeadersBuilder.() -> Unit = {},
    ): AggregatedHttpResponse =
        deployment.send("""{"model":"$model","messages":[],"max_tokens":1}""", configureHeaders = configureHeaders)

    private fun sendWithToken(token: String?): AggregatedHttpResponse = send { add(TOKEN, checkNotNull(token)) }

    private val AggregatedHttpResponse.version: String? get() = headers().get("x-almondhaven-model")
    private val AggregatedHttpResponse.token: String? get() = headers().get(TOKEN)
    private val AggregatedHttpResponse.sessionMove: String? get() = headers().get("x-almondhaven-session-moved")

    private fun errorOf(response: AggregatedHttpResponse): Pair<Int, Outcome> {
        val detail = Json.decodeFromString(ErrorBody.serializer(), response.contentUtf8()).error
        return detail.code to detail.outcome
    }

    /** Publishes the first version of a new model, served by the deployment's engine, and returns the model's name. */
    private fun addModel(): String {
        modelNames += "tagger-${modelNames.size}"
        val model = modelNames.last()
        deployment.publish(
            releaseNote("add-$model") {
                model(model, "1") { price(input = 2.0, output = 2.0) }
                engine("engine-$model", "west", deployment.engineAddress, "$model@1")
                changeOrganisation("roofers") {
                    with(deployment) { roofers() }
                    modelNames.forEach { allow(it) }
                }
            },
        )
        return model
    }

    /** Publishes a cheaper second version of [model], and withdraws the first one if [withdraw] is set. */
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
        fun `identified by a token keeps its version after a cheaper one is published`() {
            val model = addModel()
            val first = send(model)
            addSecondVersion(model)
            val second = sendWithToken(first.token)

            expectThat(first.version).isEqualTo("$model@1")
            expectThat(second.version).isEqualTo("$model@1")
            expectThat(second.sessionMove).isNull()
        }

        @Test
        fun `identified by an id only keeps its version`() {
            val model = addModel()
            send(model) { add(ID, "merchant-7") }
            addSecondVersion(model)
            val second = send(model) { add(ID, "merchant-7") }

            expectThat(second.version).isEqualTo("$model@1")
        }

        @Test
        fun `moves to the successor once when its version is withdrawn`() {
            val model = addModel()
            val first = send(model)
            addSecondVersion(model, withdraw = true)
            val second = sendWithToken(first.token)
            val third = sendWithToken(second.token)

            expectThat(second.version).isEqualTo("$model@2")
            expectThat(second.sessionMove).isEqualTo("$model@1 $model@2")
            expectThat(third.version).isEqualTo("$model@2")
            expectThat(third.sessionMove).isNull()
        }

        @Test
        fun `whose withdrawn version has no successor is rejected with outcome not_run`() {
            val model = addModel()
            val first = send(model)
            deployment.publish(releaseNote("withdraw-$model") { withdraw(model, "1") })

            expectThat(errorOf(sendWithToken(first.token)))
                .isEqualTo(ResultCode.SESSION_VERSION_WITHDRAWN.number to Outcome.NOT_RUN)
        }

        @Test
        fun `with a forged token is rejected with outcome not_run`() {
            val forged = checkNotNull(send().token).replaceAfterLast('.', "AAAA")

            expectThat(
                errorOf(sendWithToken(forged)),
            ).isEqualTo(ResultCode.SESSION_TOKEN_INVALID.number to Outcome.NOT_RUN)
        }

        @Test
        fun `is rejected with outcome not_run when the request names another model`() {
            val first = send(addModel())
            val other = send("slate") { add(TOKEN, checkNotNull(first.token)) }

            expectThat(errorOf(other)).isEqualTo(ResultCode.SESSION_MODEL_DIFFERS.number to Outcome.NOT_RUN)
        }
    }

    @Nested
    inner class `a failure domain taken out of service` {
        @Test
        fun `fails the readiness check and rejects requests until it is returned`() {
            val domain = FailureDomainId("west")
            deployment.publish(ConfigurationEntry.DomainTakenOut(NoteId("out"), "test", domain))
            val readyWhileOut = deployment.get("/health/ready").status()
            val refused = errorOf(send())
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
