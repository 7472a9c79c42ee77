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

/** The answer of a further attempt, and the exchange that belongs to that attempt. */
internal class Resumption(
    val exchange: Exchange,
    val answer: Answer,
)

/** Starts another attempt after a failed one, or completes with null if the request must not be retried. */
internal fun interface Resumer {
    fun resume(
        failed: Exchange,
        refusal: Refusal,
        lastSequence: Long,
    ): CompletableFuture<Resumption?>
}

/**
 * Joins the streams of one or more attempts into one stream for the caller. Drops frames that the caller already has
 * and frames of abandoned attempts; the stream ends with exactly one terminal frame. All state is confined to the
 * exchange's event loop. At most [WINDOW_FRAMES] frames are buffered here for a slow caller; beyond that, HTTP/2 flow
 * control holds the endpoint back.
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

    /** Returns the caller's stream, which begins with [frames] of the attempt of [exchange]. */
    fun start(
        exchange: Exchange,
        frames: StreamMessage<AnswerFrame>,
    ): StreamMessage<AnswerFrame> {
        output.whenComplete().handleAsync({ _, _ -> onCallerDisconnected() }, eventLoop)
        readFrom(exchange, frames)
        return output
    }

    private fun readFrom(
        exchange: Exchange,
        frames: StreamMessage<AnswerFrame>,
    ) {
        if (ended) return abandon(exchange, frames)
        val newSource = Source(exchange)
        source = newSource
        frames.subscribe(newSource, eventLoop)
        newSource.scheduleCheck(settings.firstByteDeadline)
    }

    private fun abandon(
        exchange: Exchange,
        frames: StreamMessage<AnswerFrame>,
    ) {
        frames.abort()
        exchange.attempt.recordEnd(AttemptResult.ABANDONED)
    }

    private fun onCallerDisconnected() {
        if (ended) return
        ended = true
        source?.stop(AttemptResult.ABANDONED)
    }

    private fun resumeOrFail(
        exchange: Exchange,
        refusal: Refusal,
    ) {
        source = null
        resumer.resume(exchange, refusal, lastSequence).whenCompleteAsync({ resumption, error ->
            val answer = resumption?.answer
            when {
                error != null || resumption == null -> finish(AnswerFrame.Failed(refusal))
                answer is Answer.Streamed -> readFrom(resumption.exchange, answer.frames)
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

    /** Reads the frames of one attempt and detects a stalled endpoint or caller. */
    private inner class Source(
        private val exchange: Exchange,
    ) : Subscriber<AnswerFrame> {
        private var subscription: Subscription? = null
        private var outstandingFrames = 0
        private var stopped = false
        private var waitStartedAt = clock.nanos()

        override fun onSubscribe(subscription: Subscription) {
            this.subscription = subscription
            if (stopped) subscription.cancel() else requestFrames()
        }

        override fun onNext(frame: AnswerFrame) {
            if (stopped) return
            waitStartedAt = clock.nanos()
            exchange.attempt.connection?.recordProgress(waitStartedAt)
            outstandingFrames--
            when (frame) {
                is AnswerFrame.Token -> deliver(frame)
                is AnswerFrame.Finished -> succeed(frame)
                is AnswerFrame.Failed -> fail(frame.refusal)
            }
        }

        override fun onError(cause: Throwable): Unit =
            fail(truncated("the endpoint's answer was cut off: ${cause.message}"))

        override fun onComplete(): Unit = fail(truncated("the answer ended before the endpoint completed it"))

        fun stop(result: AttemptResult) {
            if (stopped) return
            stopped = true
            subscription?.cancel()
            exchange.attempt.recordEnd(result)
        }

        fun scheduleCheck(deadline: Duration) {
            val remaining = deadline.inWholeNanoseconds - (clock.nanos() - waitStartedAt)
            eventLoop.schedule({ checkProgress(deadline) }, maxOf(remaining, 0), TimeUnit.NANOSECONDS)
        }

        private fun checkProgress(deadline: Duration) {
            if (stopped || ended) return
            val timeout = if (outstandingFrames == 0) settings.callerStall else deadline
            if (clock.elapsed(waitStartedAt) < timeout) return scheduleCheck(currentTimeout(timeout))
            if (outstandingFrames == 0) onCallerStalled() else onEndpointSilent()
        }

        private fun currentTimeout(previous: Duration): Duration =
            when {
                outstandingFrames == 0 -> previous
                exchange.attempt.firstTokenAt == 0L -> settings.firstByteDeadline
                else -> settings.tokenDeadline
            }

        private fun requestFrames() {
            outstandingFrames = WINDOW_FRAMES
            waitStartedAt = clock.nanos()
            subscription?.request(WINDOW_FRAMES.toLong())
        }

        private fun deliver(frame: AnswerFrame.Token) {
            exchange.attempt.recordFirstToken(clock.nanos())
            if (frame.sequence > lastSequence) {
                lastSequence = frame.sequence
                if (!output.tryWrite(frame)) return
            }
            if (outstandingFrames == 0) {
                output.whenConsumed().handleAsync({ _, _ -> if (!stopped) requestFrames() }, eventLoop)
            }
        }

        private fun succeed(frame: AnswerFrame) {
            stop(AttemptResult.SUCCEEDED)
            finish(frame)
        }

        private fun fail(refusal: Refusal) {
            if (stopped) return
            stop(if (refusal.code == ResultCode.ANSWER_CUT) AttemptResult.CONNECTION_LOST else AttemptResult.FAILED)
            if (!ended) resumeOrFail(exchange, refusal)
        }

        private fun onEndpointSilent() {
            exchange.attempt.connection?.closeIfSilent(settings.tokenDeadline, clock)
            val detail = "the endpoint sent nothing before the silence deadline"
            fail(Refusal(ResultCode.ENDPOINT_SILENT, detail, journal.errorOutcome()))
        }

        private fun onCallerStalled() {
            val detail = "the caller did not read the answer before the stall timeout"
            val refusal = Refusal(ResultCode.CALLER_TOO_SLOW, detail, journal.errorOutcome())
            stop(AttemptResult.ABANDONED)
            journal.recordRefusal(refusal)
            ended = true
            output.abort()
        }

        private fun truncated(detail: String): Refusal = Refusal(ResultCode.ANSWER_CUT, detail, journal.errorOutcome())
    }

    private companion object {
        const val WINDOW_FRAMES = 32
    }
}
