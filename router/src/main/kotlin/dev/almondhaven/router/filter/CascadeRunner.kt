package dev.almondhaven.router.filter

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.stream.StreamMessage
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.TargetMissedRule
import dev.almondhaven.decision.choice.ConfidenceBand
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.Outcome
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.model.TaskClass
import kotlinx.serialization.json.JsonObject
import java.util.concurrent.CompletableFuture

/**
 * Runs two-step model cascades: the cheap version answers first, its whole answer is buffered until its confidence is
 * known, and the request escalates to the strong version if that confidence is too low. The caller receives no byte of
 * an answer that may still be discarded.
 */
internal class CascadeRunner(
    private val steps: StepRunner,
    private val clock: NanoClock,
) {
    /**
     * Runs [exchange] on the plan's first version, then on [escalation] if the first answer is not confident.
     */
    fun run(
        exchange: Exchange,
        planned: PlannedRequest,
        escalation: ModelVersion,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val plan = planned.plan
        val deadline = firstStepDeadline(exchange)
        return runBuffered(exchange, plan.first, planned.taskClass, deadline, next).thenCompose { first ->
            if (first.answer !is Answer.Refused && first.confidence >= plan.minimumConfidence) {
                first.accept()
                CompletableFuture.completedFuture(first.answer)
            } else {
                first.discard()
                steps
                    .run(exchange, escalation, planned.taskClass, next, escalated = true)
                    .thenApply { chooseAnswer(exchange, first, it) }
            }
        }
    }

    /**
     * Runs [exchange] on [version] alone and records the confidence of its answer; used for exploration.
     */
    fun explore(
        exchange: Exchange,
        version: ModelVersion,
        taskClass: TaskClass,
        next: RequestHandler,
    ): CompletableFuture<Answer> =
        runBuffered(exchange, version, taskClass, exchange.deadline, next).thenApply {
            it.accept()
            it.answer
        }

    /** The first step may use half of the remaining time, so that an escalation still has the other half. */
    private fun firstStepDeadline(exchange: Exchange): Long {
        val now = clock.nanos()
        return now + (exchange.deadline - now) / 2
    }

    private fun runBuffered(
        exchange: Exchange,
        version: ModelVersion,
        taskClass: TaskClass,
        deadline: Long,
        next: RequestHandler,
    ): CompletableFuture<AssessedAnswer> {
        val call = exchange.call as Call.Model
        val body = AnswerConfidence.requestLogProbabilities(call.body)
        val stepExchange = exchange.with(call.copy(body = body)).copy(deadline = deadline)
        val step = steps.start(exchange, version, taskClass)
        val removeLogProbabilities = "logprobs" !in call.body
        return next
            .handle(stepExchange.with(version))
            .thenCompose { buffer(it) }
            .thenApply { assess(exchange, step, it, removeLogProbabilities) }
    }

    private fun buffer(answer: Answer): CompletableFuture<BufferedAnswer> =
        when (answer) {
            is Answer.Streamed -> answer.frames.collect().thenApply { BufferedAnswer.Streamed(it) }
            else -> CompletableFuture.completedFuture(BufferedAnswer.NotStreamed(answer))
        }

    private fun assess(
        exchange: Exchange,
        step: StepRunner.Step,
        buffered: BufferedAnswer,
        removeLogProbabilities: Boolean,
    ): AssessedAnswer {
        val confidence = AnswerConfidence()
        val answer =
            when (buffered) {
                is BufferedAnswer.Streamed -> streamedAnswer(buffered.frames, confidence, removeLogProbabilities)
                is BufferedAnswer.NotStreamed -> completeAnswer(buffered.answer, confidence, removeLogProbabilities)
            }
        return AssessedAnswer(exchange, step, answer, confidence.band())
    }

    private fun completeAnswer(
        answer: Answer,
        confidence: AnswerConfidence,
        removeLogProbabilities: Boolean,
    ): Answer {
        if (answer !is Answer.Complete) return answer
        val body = AnswerConfidence.parseOrNull(answer.body.toStringUtf8()) ?: return answer
        confidence.add(body)
        if (!removeLogProbabilities) return answer
        return answer.copy(body = HttpData.ofUtf8(AnswerConfidence.removeLogProbabilities(body).toString()))
    }

    private fun streamedAnswer(
        frames: List<AnswerFrame>,
        confidence: AnswerConfidence,
        removeLogProbabilities: Boolean,
    ): Answer {
        val failed = frames.filterIsInstance<AnswerFrame.Failed>().firstOrNull()
        if (failed != null) return Answer.Refused(failed.refusal)
        val deliveredFrames =
            frames.map { frame ->
                val chunk = (frame as? AnswerFrame.Token)?.let { AnswerConfidence.parseOrNull(it.data) }
                chunk?.let { confidence.add(it) }
                if (chunk == null || !removeLogProbabilities) frame else frame.withoutLogProbabilities(chunk)
            }
        if (deliveredFrames.lastOrNull() !is AnswerFrame.Finished) return Answer.Refused(ANSWER_TRUNCATED)
        return Answer.Streamed(StreamMessage.of(*deliveredFrames.toTypedArray()))
    }

    private fun AnswerFrame.withoutLogProbabilities(chunk: JsonObject): AnswerFrame =
        (this as AnswerFrame.Token).copy(data = AnswerConfidence.removeLogProbabilities(chunk).toString())

    /**
     * Returns the second answer, or the first one if the escalation was refused and the organisation accepts the best
     * available answer.
     */
    private fun chooseAnswer(
        exchange: Exchange,
        first: AssessedAnswer,
        second: Answer,
    ): Answer {
        if (second !is Answer.Refused) {
            exchange.journal.addAnswerHeader(ESCALATED_HEADER, "true")
            return second
        }
        val acceptsBestAvailable = exchange.organisation.quality.whenMissed == TargetMissedRule.BEST_AVAILABLE
        if (!acceptsBestAvailable || first.answer is Answer.Refused) return second
        exchange.journal.restoreStep()
        exchange.journal.addAnswerHeader(QualityHeader.NAME, QualityHeader.BELOW_TARGET)
        return first.answer
    }

    private sealed interface BufferedAnswer {
        class Streamed(
            val frames: List<AnswerFrame>,
        ) : BufferedAnswer

        class NotStreamed(
            val answer: Answer,
        ) : BufferedAnswer
    }

    private class AssessedAnswer(
        private val exchange: Exchange,
        private val step: StepRunner.Step,
        val answer: Answer,
        val confidence: ConfidenceBand,
    ) {
        private val refusal = (answer as? Answer.Refused)?.refusal

        fun accept(): Unit = step.end(refusal, confidenceIfAnswered(), delivered = true)

        fun discard() {
            step.end(refusal, confidenceIfAnswered(), delivered = false)
            exchange.journal.discardStep()
        }

        private fun confidenceIfAnswered(): ConfidenceBand? = if (refusal == null) confidence else null
    }

    private companion object {
        const val ESCALATED_HEADER = "x-almondhaven-escalated"
        val ANSWER_TRUNCATED =
            Refusal(ResultCode.ANSWER_CUT, "the answer ended before the endpoint completed it", Outcome.UNKNOWN)
    }
}
