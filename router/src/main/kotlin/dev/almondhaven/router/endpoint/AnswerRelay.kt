package dev.almondhaven.router.endpoint

import com.linecorp.armeria.common.stream.StreamMessage
import com.linecorp.armeria.common.stream.StreamWriter
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.filter.Answer
import dev.almondhaven.router.filter.AnswerFrame
import dev.almondhaven.router.filter.AttemptResult
import dev.almondhaven.router.filter.Exchange
import dev.almondhaven.router.settings.EndpointSettings
import org.reactivestreams.Subscriber
import org.reactivestreams.Subscription
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** A further attempt at a streamed answer. */
internal class Resumption(
    val exchange: Exchange,
    val answer: Answer,
)

/** Starts another attempt after [Refusal], or completes with null when there is to be none. */
internal fun interface Resumer {
    fun resume(
        failed: Exchange,
        refusal: Refusal,
        lastSequence: Long,
    ): CompletableFuture<Resumption?>
}

/**
 * Makes one stream for the caller out of the streams of one or more attempts. Frames that the caller already has, and
 * frames of an attempt that was given up, are dropped; the stream ends in exactly one terminal frame. All state belongs
 * to the exchange's event loop. At most [WINDOW] frames wait for a slow caller here; the rest waits in the HTTP/2 window.
 */
internal class AnswerRelay(
    private val settings: EndpointSettings,
    private val clock: NanoClock,
    private val resumer: Resumer,
    first: Exchange,
) {
    private val eventLoop = first.eventLoop
    private val journal = first.journal
    private val output: StreamWriter<AnswerFrame> = StreamMessage.streaming()
    private var source: Source? = null
    private var lastSequence = 0L
    private var ended = false

    /** The caller's stream, fed at first from [frames] of the exchange's attempt. */
    fun start(
        exchange: Exchange,
        frames: StreamMessage<AnswerFrame>,
    ): StreamMessage<AnswerFrame> {
        output.whenComplete().handleAsync({ _, _ -> callerLeft() }, eventLoop)
        follow(exchange, frames)
        return output
    }

    private fun follow(
        exchange: Exchange,
        frames: StreamMessage<AnswerFrame>,
    ) {
        if (ended) return abandon(exchange, frames)
        val next = Source(exchange)
        source = next
        frames.subscribe(next, eventLoop)
        next.watch(settings.firstByteDeadline)
    }

    private fun abandon(
        exchange: Exchange,
        frames: StreamMessage<AnswerFrame>,
    ) {
        frames.abort()
        exchange.attempt.recordEnd(AttemptResult.ABANDONED)
    }

    private fun callerLeft() {
        if (ended) return
        ended = true
        source?.stop(AttemptResult.ABANDONED)
    }

    private fun failed(
        exchange: Exchange,
        refusal: Refusal,
    ) {
        source = null
        resumer.resume(exchange, refusal, lastSequence).whenCompleteAsync({ resumption, error ->
            val answer = resumption?.answer
            when {
                error != null || resumption == null -> finish(AnswerFrame.Failed(refusal))
                answer is Answer.Streamed -> follow(resumption.exchange, answer.frames)
                answer is Answer.Refused -> finish(AnswerFrame.Failed(answer.refusal))
                else -> finish(AnswerFrame.Failed(refusal))
            }
        }, eventLoop)
    }

    private fun finish(last: AnswerFrame) {
        if (ended) return
        ended = true
        if (output.tryWrite(last)) output.close()
    }

    /** Reads one attempt's frames. */
    private inner class Source(
        private val exchange: Exchange,
    ) : Subscriber<AnswerFrame> {
        private var subscription: Subscription? = null
        private var requested = 0
        private var stopped = false
        private var waitingSince = clock.nanos()

        override fun onSubscribe(subscription: Subscription) {
            this.subscription = subscription
            if (stopped) subscription.cancel() else demand()
        }

        override fun onNext(frame: AnswerFrame) {
            if (stopped) return
            waitingSince = clock.nanos()
            exchange.attempt.connection?.recordProgress(waitingSince)
            requested--
            when (frame) {
                is AnswerFrame.Token -> deliver(frame)
                is AnswerFrame.Finished -> succeed(frame)
                is AnswerFrame.Failed -> fail(frame.refusal)
            }
        }

        override fun onError(cause: Throwable): Unit = fail(cut("the endpoint's answer broke off: ${cause.message}"))

        override fun onComplete(): Unit = fail(cut("the endpoint's answer ended early"))

        fun stop(result: AttemptResult) {
            if (stopped) return
            stopped = true
            subscription?.cancel()
            exchange.attempt.recordEnd(result)
        }

        fun watch(deadline: Duration) {
            val left = deadline.inWholeNanoseconds - (clock.nanos() - waitingSince)
            eventLoop.schedule({ check(deadline) }, maxOf(left, 0), TimeUnit.NANOSECONDS)
        }

        private fun check(deadline: Duration) {
            if (stopped || ended) return
            val applied = if (requested == 0) settings.callerStall else deadline
            if (clock.elapsed(waitingSince) < applied) return watch(currentDeadline(applied))
            if (requested == 0) callerStalled() else silent()
        }

        private fun currentDeadline(applied: Duration): Duration =
            when {
                requested == 0 -> applied
                exchange.attempt.firstTokenAt == 0L -> settings.firstByteDeadline
                else -> settings.tokenDeadline
            }

        private fun demand() {
            requested = WINDOW
            waitingSince = clock.nanos()
            subscription?.request(WINDOW.toLong())
        }

        private fun deliver(frame: AnswerFrame.Token) {
            exchange.attempt.recordFirstToken(clock.nanos())
            if (frame.sequence > lastSequence) {
                lastSequence = frame.sequence
                if (!output.tryWrite(frame)) return
            }
            if (requested == 0) {
                output.whenConsumed().handleAsync({ _, _ -> if (!stopped) demand() }, eventLoop)
            }
        }

        private fun succeed(frame: AnswerFrame) {
            stop(AttemptResult.SUCCEEDED)
            finish(frame)
        }

        private fun fail(refusal: Refusal) {
            if (stopped) return
            stop(if (refusal.code == ResultCode.ANSWER_CUT) AttemptResult.CONNECTION_LOST else AttemptResult.FAILED)
            if (!ended) failed(exchange, refusal)
        }

        private fun silent() {
            exchange.attempt.connection?.closeIfSilent(settings.tokenDeadline, clock)
            fail(Refusal(ResultCode.ENDPOINT_SILENT, "the endpoint sent nothing in time", journal.errorOutcome()))
        }

        private fun callerStalled() {
            val refusal = Refusal(ResultCode.CALLER_TOO_SLOW, "the answer wasn't taken in time", journal.errorOutcome())
            stop(AttemptResult.ABANDONED)
            journal.recordRefusal(refusal)
            ended = true
            output.abort()
        }

        private fun cut(detail: String): Refusal = Refusal(ResultCode.ANSWER_CUT, detail, journal.errorOutcome())
    }

    private companion object {
        const val WINDOW = 32
    }
}
