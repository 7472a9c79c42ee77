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
    private val sure = -0.05
    private val unsure = -1.5

    private fun versions(scene: ModelChoiceFixture): List<String> =
        scene.sent.map {
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

    /** Only the first step is asked for log-probabilities; the fake engine always sends them. */
    private val strongWithLogProbabilities =
        """{"choices":[{"message":{"content":"strong"},"finish_reason":"stop",""" +
            """"logprobs":{"content":[{"token":"strong","logprob":-0.05}]}}]}"""

    private fun plain(content: String): String =
        """{"choices":[{"message":{"content":"$content"},"finish_reason":"stop"}]}"""

    private fun quarantine(version: ModelVersion): QuarantineSet {
        val evidence =
            TrialEvidence(TrialMeasure.ERROR_RATE, TrialReference.PREDECESSOR, 9.0, 8.0, 50, 0.4, 60, 0.01)
        return QuarantineSet.of(listOf(Quarantine(version.id, version.definedIn, 1, RouterId("r"), evidence)))
    }

    @Nested
    inner class `a cascade` {
        @Test
        fun `ends with a confident cheap answer, without the log-probabilities that it asked for`() {
            val scene = ModelChoiceFixture()

            val answer = scene.run(scene.exchange()) { ModelChoiceFixture.whole("cheap", sure) }

            expectThat(versions(scene)).containsExactly("small")
            expectThat(text(answer)).isEqualTo(plain("cheap"))
        }

        @Test
        fun `shows nothing of an answer that it takes back`() {
            val scene = ModelChoiceFixture()

            val answer =
                scene.run(scene.exchange(streamed = true)) { step ->
                    if (step.version == scene.small) {
                        ModelChoiceFixture.streamed("cheap", unsure)
                    } else {
                        ModelChoiceFixture.streamed("strong", sure)
                    }
                }

            expectThat(versions(scene)).containsExactly("small", "large")
            expectThat(text(answer)).isEqualTo(strongWithLogProbabilities)
        }

        @Test
        fun `notes the usage of both steps`() {
            val scene = ModelChoiceFixture()
            val exchange = scene.exchange()

            scene.run(exchange) { ModelChoiceFixture.whole("any", unsure) }

            expectThat(exchange.journal.discardedSteps)
                .containsExactly(RequestStep(scene.small.id, EndpointId("e"), Usage(10, 5)))
            expectThat(exchange.journal.servedVersion).isEqualTo(scene.large.id)
            expectThat(exchange.journal.usage).isEqualTo(Usage(10, 5))
        }

        @Test
        fun `gives the cheap answer after all when the escalation fails, and says so`() {
            val scene = ModelChoiceFixture()
            val exchange = scene.exchange()

            val answer =
                scene.run(exchange) { step ->
                    val refusal = Refusal(ResultCode.ENDPOINT_FAILED, "no", Outcome.UNKNOWN)
                    if (step.version ==
                        scene.small
                    ) {
                        ModelChoiceFixture.whole("cheap", unsure)
                    } else {
                        Answer.Refused(refusal)
                    }
                }

            expectThat(text(answer)).isEqualTo(plain("cheap"))
            expectThat(exchange.journal.servedVersion).isEqualTo(scene.small.id)
            expectThat(exchange.journal.answerHeaders)
                .containsExactly(AnswerHeader("x-almondhaven-quality", "below_target"))
        }

        @Test
        fun `escalates when the cheap step fails`() {
            val scene = ModelChoiceFixture()

            val answer =
                scene.run(scene.exchange()) { step ->
                    val refusal = Refusal(ResultCode.ENDPOINT_FAILED, "no", Outcome.UNKNOWN)
                    if (step.version ==
                        scene.small
                    ) {
                        Answer.Refused(refusal)
                    } else {
                        ModelChoiceFixture.whole("strong", sure)
                    }
                }

            expectThat(text(answer).contains("strong")).isTrue()
        }

        @Test
        fun `doesn't escalate to a version withdrawn during the first step`() {
            val scene = ModelChoiceFixture()

            scene.run(scene.exchange()) {
                val withdrawn = scene.large.copy(state = VersionState.WITHDRAWN)
                scene.holder.offer(scene.catalogue(2, listOf(scene.small, withdrawn)))
                ModelChoiceFixture.whole("cheap", unsure)
            }

            expectThat(scene.sent.map { scene.policy.dispatchRefusal(it)?.code })
                .containsExactly(null, ResultCode.UNKNOWN_MODEL)
        }
    }

    @Nested
    inner class `a request that names its version` {
        @Test
        fun `gets it, also in quarantine`() {
            val scene = ModelChoiceFixture()
            scene.quarantines = quarantine(scene.small)

            scene.run(scene.exchange(selector = ModelSelector.Version(scene.small.id))) {
                ModelChoiceFixture.whole("cheap", unsure)
            }

            expectThat(versions(scene)).containsExactly("small")
        }

        @Test
        fun `by its session gets it`() {
            val scene = ModelChoiceFixture()

            scene.run(scene.exchange().pinnedTo(scene.small.id)) { ModelChoiceFixture.whole("cheap", unsure) }

            expectThat(versions(scene)).containsExactly("small")
        }
    }

    @Nested
    inner class `a version in quarantine` {
        @Test
        fun `gets no new request`() {
            val scene = ModelChoiceFixture()
            scene.quarantines = quarantine(scene.small)

            scene.run(scene.exchange()) { ModelChoiceFixture.whole("any", sure) }

            expectThat(versions(scene)).containsExactly("large")
        }

        @Test
        fun `is left at the last moment, and another one chosen`() {
            val scene = ModelChoiceFixture()
            val exchange = scene.exchange()
            val chosen = exchange.with(scene.small)
            scene.quarantines = quarantine(scene.small)

            expectThat(scene.policy.dispatchRefusal(chosen)?.code).isEqualTo(ResultCode.VERSION_QUARANTINED)
            expectThat(scene.policy.dispatchRefusal(chosen)?.outcome).isEqualTo(Outcome.NOT_RUN)
        }

        @Test
        fun `serves all the same when it is the last one allowed`() {
            val scene = ModelChoiceFixture()
            scene.quarantines = quarantine(scene.small).merge(quarantine(scene.large))

            val answer = scene.run(scene.exchange()) { ModelChoiceFixture.whole("any", sure) }

            expectThat(answer is Answer.Refused).isEqualTo(false)
            expectThat(scene.sent.size).isEqualTo(1)
        }
    }

    @Nested
    inner class `a target out of reach` {
        @Test
        fun `is refused as not run when the organisation says so`() {
            val scene = ModelChoiceFixture(QualityTarget(0.999, whenMissed = TargetMissedRule.REFUSE))

            val answer = scene.run(scene.exchange()) { ModelChoiceFixture.whole("any", sure) }

            expectThat(text(answer)).isEqualTo("TARGET_MISSED NOT_RUN")
            expectThat(scene.sent.size).isEqualTo(0)
        }

        @Test
        fun `gets the best available and a header otherwise`() {
            val scene = ModelChoiceFixture(QualityTarget(0.999))
            val exchange = scene.exchange()

            scene.run(exchange) { ModelChoiceFixture.whole("any", sure) }

            expectThat(versions(scene)).containsExactly("large")
            expectThat(exchange.journal.answerHeaders)
                .containsExactly(AnswerHeader("x-almondhaven-quality", "below_target"))
        }
    }
}
