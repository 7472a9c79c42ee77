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
 * Runs two-step cascades: the cheap version first, its answer held back until it is judged, then the strong version if
 * need be. The caller sees no byte of an answer that might be taken back.
 */
internal class CascadeRunner(
    private val steps: StepRunner,
    private val clock: NanoClock,
) {
    /** Runs [exchange] on the plan's first version, and on [escalation] unless the answer is accepted. */
    fun run(
        exchange: Exchange,
        planned: PlannedRequest,
        escalation: ModelVersion,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val plan = planned.plan
        return judged(exchange, plan.first, planned.taskClass, half(exchange), next).thenCompose { first ->
            if (first.answer !is Answer.Refused && first.confidence >= plan.minimumConfidence) {
                first.accept()
                CompletableFuture.completedFuture(first.answer)
            } else {
                first.discard()
                steps
                    .run(exchange, escalation, planned.taskClass, next, escalated = true)
                    .thenApply { fallBack(exchange, first, it) }
            }
        }
    }

    /** Runs [exchange] on [version] alone, and learns the confidence of its answer; for exploration. */
    fun explore(
        exchange: Exchange,
        version: ModelVersion,
        taskClass: TaskClass,
        next: RequestHandler,
    ): CompletableFuture<Answer> =
        judged(exchange, version, taskClass, exchange.deadline, next).thenApply {
            it.accept()
            it.answer
        }

    /** The first step may use up half of the time that is left. */
    private fun half(exchange: Exchange): Long {
        val now = clock.nanos()
        return now + (exchange.deadline - now) / 2
    }

    private fun judged(
        exchange: Exchange,
        version: ModelVersion,
        taskClass: TaskClass,
        deadline: Long,
        next: RequestHandler,
    ): CompletableFuture<JudgedAnswer> {
        val call = exchange.call as Call.Model
        val asking = exchange.with(call.copy(body = AnswerConfidence.ask(call.body))).copy(deadline = deadline)
        val step = steps.start(exchange, version, taskClass)
        val strip = "logprobs" !in call.body
        return next
            .handle(asking.with(version))
            .thenCompose { held(it) }
            .thenApply { judge(exchange, step, it, strip) }
    }

    private fun held(answer: Answer): CompletableFuture<HeldAnswer> =
        when (answer) {
            is Answer.Streamed -> answer.frames.collect().thenApply { HeldAnswer.Frames(it) }
            else -> CompletableFuture.completedFuture(HeldAnswer.Plain(answer))
        }

    private fun judge(
        exchange: Exchange,
        step: StepRunner.Step,
        held: HeldAnswer,
        strip: Boolean,
    ): JudgedAnswer {
        val confidence = AnswerConfidence()
        val answer =
            when (held) {
                is HeldAnswer.Frames -> framesAnswer(held.frames, confidence, strip)
                is HeldAnswer.Plain -> plainAnswer(held.answer, confidence, strip)
            }
        return JudgedAnswer(exchange, step, answer, confidence.band())
    }

    private fun plainAnswer(
        answer: Answer,
        confidence: AnswerConfidence,
        strip: Boolean,
    ): Answer {
        if (answer !is Answer.Complete) return answer
        val body = AnswerConfidence.parse(answer.body.toStringUtf8()) ?: return answer
        confidence.add(body)
        if (!strip) return answer
        return answer.copy(body = HttpData.ofUtf8(AnswerConfidence.strip(body).toString()))
    }

    private fun framesAnswer(
        frames: List<AnswerFrame>,
        confidence: AnswerConfidence,
        strip: Boolean,
    ): Answer {
        val failed = frames.filterIsInstance<AnswerFrame.Failed>().firstOrNull()
        if (failed != null) return Answer.Refused(failed.refusal)
        val shown =
            frames.map { frame ->
                val chunk = (frame as? AnswerFrame.Token)?.let { AnswerConfidence.parse(it.data) }
                chunk?.let { confidence.add(it) }
                if (chunk == null || !strip) frame else frame.stripped(chunk)
            }
        if (shown.lastOrNull() !is AnswerFrame.Finished) return Answer.Refused(CUT)
        return Answer.Streamed(StreamMessage.of(*shown.toTypedArray()))
    }

    private fun AnswerFrame.stripped(chunk: JsonObject): AnswerFrame =
        (this as AnswerFrame.Token).copy(data = AnswerConfidence.strip(chunk).toString())

    /** The first answer after all, when the escalation gave none and the organisation takes the best available. */
    private fun fallBack(
        exchange: Exchange,
        first: JudgedAnswer,
        second: Answer,
    ): Answer {
        if (second !is Answer.Refused) {
            exchange.journal.addAnswerHeader(ESCALATED_HEADER, "true")
            return second
        }
        val takesBest = exchange.organisation.quality.whenMissed == TargetMissedRule.BEST_AVAILABLE
        if (!takesBest || first.answer is Answer.Refused) return second
        exchange.journal.restoreStep()
        exchange.journal.addAnswerHeader(QualityHeader.NAME, QualityHeader.BELOW_TARGET)
        return first.answer
    }

    private sealed interface HeldAnswer {
        class Frames(
            val frames: List<AnswerFrame>,
        ) : HeldAnswer

        class Plain(
            val answer: Answer,
        ) : HeldAnswer
    }

    private class JudgedAnswer(
        private val exchange: Exchange,
        private val step: StepRunner.Step,
        val answer: Answer,
        val confidence: ConfidenceBand,
    ) {
        private val refusal = (answer as? Answer.Refused)?.refusal

        fun accept(): Unit = step.end(refusal, judgedConfidence(), delivered = true)

        fun discard() {
            step.end(refusal, judgedConfidence(), delivered = false)
            exchange.journal.discardStep()
        }

        private fun judgedConfidence(): ConfidenceBand? = if (refusal == null) confidence else null
    }

    private companion object {
        const val ESCALATED_HEADER = "x-almondhaven-escalated"
        val CUT = Refusal(ResultCode.ANSWER_CUT, "the endpoint's answer ended early", Outcome.UNKNOWN)
    }
}
