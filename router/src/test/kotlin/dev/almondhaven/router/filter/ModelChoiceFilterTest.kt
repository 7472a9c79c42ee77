package dev.almondhaven.router.filter

import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.QualityTarget
import dev.almondhaven.catalogue.TargetMissedRule
import dev.almondhaven.catalogue.VersionState
import dev.almondhaven.decision.rollout.Quarantine
import dev.almondhaven.decision.rollout.QuarantineSet
import dev.almondhaven.decision.rollout.TrialEvidence
import dev.almondhaven.decision.rollout.TrialMeasure
import dev.almondhaven.decision.rollout.TrialReference
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.Outcome
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.model.RouterId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class ModelChoiceFilterTest {
    private val confident = -0.05
    private val unconfident = -1.5

    private fun forwardedModels(fixture: ModelChoiceFixture): List<String> =
        fixture.forwarded.map {
            it.version
                ?.model
                ?.value
                .orEmpty()
        }

    private fun text(answer: Answer): String =
        when (answer) {
            is Answer.Complete -> {
                answer.body.toStringUtf8()
            }

            is Answer.Streamed -> {
                val frames = answer.frames.collect().join()
                frames.filterIsInstance<AnswerFrame.Token>().joinToString { it.data }
            }

            is Answer.Refused -> {
                "${answer.refusal.code} ${answer.refusal.outcome}"
            }
        }

    /**
     * The answer of the second step: the router requests and removes log-probabilities only in the first step, and the
     * fake engine always sends them.
     */
    private val strongAnswerWithLogProbabilities =
        """{"choices":[{"message":{"content":"strong"},"finish_reason":"stop",""" +
            """"logprobs":{"content":[{"token":"strong","logprob":-0.05}]}}]}"""

    private fun answerWithoutLogProbabilities(content: String): String =
        """{"choices":[{"message":{"content":"$content"},"finish_reason":"stop"}]}"""

    private fun quarantineOf(version: ModelVersion): QuarantineSet {
        val evidence =
            TrialEvidence(TrialMeasure.ERROR_RATE, TrialReference.PREDECESSOR, 9.0, 8.0, 50, 0.4, 60, 0.01)
        return QuarantineSet.of(listOf(Quarantine(version.id, version.definedIn, 1, RouterId("r"), evidence)))
    }

    @Nested
    inner class `a cascade` {
        @Test
        fun `returns a confident cheap answer without the log-probabilities that the router requested`() {
            val fixture = ModelChoiceFixture()

            val answer = fixture.run(fixture.exchange()) { ModelChoiceFixture.complete("cheap", confident) }

            expectThat(forwardedModels(fixture)).containsExactly("small")
            expectThat(text(answer)).isEqualTo(answerWithoutLogProbabilities("cheap"))
        }

        @Test
        fun `sends the caller nothing of a discarded answer`() {
            val fixture = ModelChoiceFixture()

            val answer =
                fixture.run(fixture.exchange(streamed = true)) { step ->
                    if (step.version == fixture.small) {
                        ModelChoiceFixture.streamed("cheap", unconfident)
                    } else {
                        ModelChoiceFixture.streamed("strong", confident)
                    }
                }

            expectThat(forwardedModels(fixture)).containsExactly("small", "large")
            expectThat(text(answer)).isEqualTo(strongAnswerWithLogProbabilities)
        }

        @Test
        fun `records the usage of both steps`() {
            val fixture = ModelChoiceFixture()
            val exchange = fixture.exchange()

            fixture.run(exchange) { ModelChoiceFixture.complete("any", unconfident) }

            expectThat(exchange.journal.discardedSteps)
                .containsExactly(RequestStep(fixture.small.id, EndpointId("e"), Usage(10, 5)))
            expectThat(exchange.journal.servedVersion).isEqualTo(fixture.large.id)
            expectThat(exchange.journal.usage).isEqualTo(Usage(10, 5))
        }

        @Test
        fun `returns the cheap answer with a quality header when the escalation fails`() {
            val fixture = ModelChoiceFixture()
            val exchange = fixture.exchange()

            val answer =
                fixture.run(exchange) { step ->
                    val refusal = Refusal(ResultCode.ENDPOINT_FAILED, "no", Outcome.UNKNOWN)
                    if (step.version == fixture.small) {
                        ModelChoiceFixture.complete("cheap", unconfident)
                    } else {
                        Answer.Refused(refusal)
                    }
                }

            expectThat(text(answer)).isEqualTo(answerWithoutLogProbabilities("cheap"))
            expectThat(exchange.journal.servedVersion).isEqualTo(fixture.small.id)
            expectThat(exchange.journal.answerHeaders)
                .containsExactly(AnswerHeader("x-almondhaven-quality", "below_target"))
        }

        @Test
        fun `escalates when the cheap step fails`() {
            val fixture = ModelChoiceFixture()

            val answer =
                fixture.run(fixture.exchange()) { step ->
                    val refusal = Refusal(ResultCode.ENDPOINT_FAILED, "no", Outcome.UNKNOWN)
                    if (step.version == fixture.small) {
                        Answer.Refused(refusal)
                    } else {
                        ModelChoiceFixture.complete("strong", confident)
                    }
                }

            expectThat(text(answer).contains("strong")).isTrue()
        }

        @Test
        fun `does not dispatch to a version withdrawn during the first step`() {
            val fixture = ModelChoiceFixture()

            fixture.run(fixture.exchange()) {
                val withdrawn = fixture.large.copy(state = VersionState.WITHDRAWN)
                fixture.holder.offer(fixture.catalogue(2, listOf(fixture.small, withdrawn)))
                ModelChoiceFixture.complete("cheap", unconfident)
            }

            expectThat(fixture.forwarded.map { fixture.policy.dispatchRefusal(it)?.code })
                .containsExactly(null, ResultCode.UNKNOWN_MODEL)
        }
    }

    @Nested
    inner class `a request with a fixed version` {
        @Test
        fun `runs on the version named by the caller even if it is quarantined`() {
            val fixture = ModelChoiceFixture()
            fixture.quarantines = quarantineOf(fixture.small)

            fixture.run(fixture.exchange(selector = ModelSelector.Version(fixture.small.id))) {
                ModelChoiceFixture.complete("cheap", unconfident)
            }

            expectThat(forwardedModels(fixture)).containsExactly("small")
        }

        @Test
        fun `runs on the version pinned by its session`() {
            val fixture = ModelChoiceFixture()

            fixture.run(fixture.exchange().pinnedTo(fixture.small.id)) {
                ModelChoiceFixture.complete("cheap", unconfident)
            }

            expectThat(forwardedModels(fixture)).containsExactly("small")
        }
    }

    @Nested
    inner class `a quarantined version` {
        @Test
        fun `receives no new requests`() {
            val fixture = ModelChoiceFixture()
            fixture.quarantines = quarantineOf(fixture.small)

            fixture.run(fixture.exchange()) { ModelChoiceFixture.complete("any", confident) }

            expectThat(forwardedModels(fixture)).containsExactly("large")
        }

        @Test
        fun `is refused as not run when the quarantine starts after the choice`() {
            val fixture = ModelChoiceFixture()
            val exchange = fixture.exchange()
            val chosen = exchange.with(fixture.small)
            fixture.quarantines = quarantineOf(fixture.small)

            expectThat(fixture.policy.dispatchRefusal(chosen)?.code).isEqualTo(ResultCode.VERSION_QUARANTINED)
            expectThat(fixture.policy.dispatchRefusal(chosen)?.outcome).isEqualTo(Outcome.NOT_RUN)
        }

        @Test
        fun `still serves requests when every allowed version is quarantined`() {
            val fixture = ModelChoiceFixture()
            fixture.quarantines = quarantineOf(fixture.small).merge(quarantineOf(fixture.large))

            val answer = fixture.run(fixture.exchange()) { ModelChoiceFixture.complete("any", confident) }

            expectThat(answer is Answer.Refused).isEqualTo(false)
            expectThat(fixture.forwarded.size).isEqualTo(1)
        }
    }

    @Nested
    inner class `a quality target out of reach` {
        @Test
        fun `is refused as not run when the organisation requires refusal`() {
            val fixture = ModelChoiceFixture(QualityTarget(0.999, whenMissed = TargetMissedRule.REFUSE))

            val answer = fixture.run(fixture.exchange()) { ModelChoiceFixture.complete("any", confident) }

            expectThat(text(answer)).isEqualTo("TARGET_MISSED NOT_RUN")
            expectThat(fixture.forwarded.size).isEqualTo(0)
        }

        @Test
        fun `is answered by the best available version with a quality header otherwise`() {
            val fixture = ModelChoiceFixture(QualityTarget(0.999))
            val exchange = fixture.exchange()

            fixture.run(exchange) { ModelChoiceFixture.complete("any", confident) }

            expectThat(forwardedModels(fixture)).containsExactly("large")
            expectThat(exchange.journal.answerHeaders)
                .containsExactly(AnswerHeader("x-almondhaven-quality", "below_target"))
        }
    }
}
