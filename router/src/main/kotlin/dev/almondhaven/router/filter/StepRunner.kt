package dev.almondhaven.router.filter

import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.decision.choice.ConfidenceBand
import dev.almondhaven.decision.choice.EvidenceSubject
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.model.TaskClass
import dev.almondhaven.router.controller.ChoiceController
import dev.almondhaven.router.controller.StepObservation
import java.util.concurrent.CompletableFuture

/** Runs a request on one version and reports the outcome to the [ChoiceController]. */
internal class StepRunner(
    private val choice: ChoiceController,
    private val load: VersionLoad,
    private val clock: NanoClock,
) {
    /** Runs [exchange] on [version] and reports the outcome when the answer has ended. */
    fun run(
        exchange: Exchange,
        version: ModelVersion,
        taskClass: TaskClass,
        next: RequestHandler,
        escalated: Boolean = false,
    ): CompletableFuture<Answer> {
        val step = start(exchange, version, taskClass, escalated)
        return next.handle(exchange.with(version)).thenApply { answer -> reportEnd(step, answer) }
    }

    /** Records the start of a step on [version]; the caller reports its end. */
    fun start(
        exchange: Exchange,
        version: ModelVersion,
        taskClass: TaskClass,
        escalated: Boolean = false,
    ): Step {
        load.count(version.id, exchange.journal)
        return Step(exchange, EvidenceSubject(version.id, version.definedIn, taskClass), clock.nanos(), escalated)
    }

    private fun reportEnd(
        step: Step,
        answer: Answer,
    ): Answer {
        if (answer is Answer.Streamed) {
            return Answer.Streamed(
                answer.frames.map { frame ->
                    frame.also { step.onFrame(it) }
                },
            )
        }
        step.end((answer as? Answer.Refused)?.refusal, confidence = null, delivered = true)
        return answer
    }

    /** One run of a request on one version. */
    inner class Step(
        private val exchange: Exchange,
        private val subject: EvidenceSubject,
        private val startedAt: Long,
        private val escalated: Boolean,
    ) {
        internal fun onFrame(frame: AnswerFrame) {
            when (frame) {
                is AnswerFrame.Token -> Unit
                AnswerFrame.Finished -> end(null, null, delivered = true)
                is AnswerFrame.Failed -> end(frame.refusal, null, delivered = true)
            }
        }

        /** Reports the end of the step; [refusal] is null when the step produced an answer. */
        fun end(
            refusal: Refusal?,
            confidence: ConfidenceBand?,
            delivered: Boolean,
        ) {
            if (refusal != null && refusal.code !in VERSION_ERROR_CODES) return
            val tokens = exchange.journal.usage?.completionTokens
            val elapsedMillis = (clock.nanos() - startedAt) / NANOS_PER_MILLISECOND
            val millisPerToken = if (refusal == null && tokens != null && tokens > 0) elapsedMillis / tokens else null
            choice.observe(
                StepObservation(
                    exchange.requestId,
                    subject,
                    refusal != null,
                    millisPerToken,
                    confidence,
                    delivered,
                    escalated,
                ),
            )
        }
    }

    private companion object {
        const val NANOS_PER_MILLISECOND = 1e6

        /** Result codes that count as errors of the model version. */
        val VERSION_ERROR_CODES =
            setOf(
                ResultCode.ENDPOINT_FAILED,
                ResultCode.ANSWER_MALFORMED,
                ResultCode.ANSWER_CUT,
                ResultCode.DEADLINE_EXCEEDED,
            )
    }
}
