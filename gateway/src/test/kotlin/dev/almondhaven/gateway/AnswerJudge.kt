package dev.almondhaven.gateway

import kotlin.time.Duration

/** Kind of a route, as far as the judge tells them apart. */
internal enum class CallKind { STREAM, IDEMPOTENT, NON_IDEMPOTENT }

/** What a caller got for one request; [answer] is null if the connection ended without one. */
internal data class CallerOutcome(
    val requestId: String,
    val kind: CallKind,
    val answer: ReceivedAnswer?,
    val endedAt: Duration,
    val unaskedBytes: Boolean,
)

/** What a caller must never see. */
internal enum class Rule { MIXED, ORDER, TWICE, REFUSED }

/** To which of the request's sends an answer belongs that a caller got. */
internal enum class AnswerOrigin {
    /** The last send of the request over its connection. */
    LAST_SEND,

    /** A send before the last one over its connection: the connection is one answer behind. */
    EARLIER_SEND,

    /** A send whose answer the endpoint broke off; the stream goes on with a later send. */
    BROKEN_OFF_SEND,

    /** No send; the router has made the answer, or there is none. */
    NO_SEND,
}

/** When a second copy of an answer reached a connection over which the same request was sent once more. */
internal enum class CopyTime {
    /** Before the later send arrived at the endpoint: the router had not yet read it when it used the connection again. */
    BEFORE_LATER_SEND,

    /** While the later send waited for its answer. */
    DURING_LATER_SEND,

    /** No copy shared a connection with a later send. */
    NONE,
}

internal data class Violation(
    val rule: Rule,
    val outcome: CallerOutcome,
    val finding: String,
    val origin: AnswerOrigin,
    val copyTime: CopyTime,
) {
    override fun toString(): String =
        "$rule $origin copy=$copyTime: ${outcome.kind} ${outcome.requestId} " +
            "got ${outcome.answer?.status} ${outcome.answer?.signature} at ${inMillis(outcome.endedAt)}, $finding"
}

/** Compares the answers that callers got with those that the endpoints sent. */
internal class AnswerJudge(
    private val record: SendRecord,
) {
    private val bySignature = record.bySignature()

    fun violations(outcome: CallerOutcome): List<Violation> {
        val sends = record.sendsOf(outcome.requestId)
        val findings = mixed(outcome) + notIdempotent(outcome, sends)
        return findings.map { (rule, finding) ->
            Violation(rule, outcome, finding, originOf(outcome), copyTime(sends))
        }
    }

    fun originOf(outcome: CallerOutcome): AnswerOrigin {
        val send = bySignature[outcome.answer?.signature] ?: return AnswerOrigin.NO_SEND
        return when {
            send.isBrokenOff -> AnswerOrigin.BROKEN_OFF_SEND
            send === lastSendOver(send) -> AnswerOrigin.LAST_SEND
            else -> AnswerOrigin.EARLIER_SEND
        }
    }

    /**
     * The last send of the request over the connection of [send]. A router that has given a silent send up goes on over
     * another connection, and the send that it gave up may arrive later than the one whose answer it passes on.
     */
    private fun lastSendOver(send: Send) = record.sendsOf(send.requestId).last { it.connection == send.connection }

    private fun copyTime(sends: List<Send>): CopyTime {
        val times = sends.flatMap { earlier -> copyTimes(earlier, sends) }
        return times.minOrNull() ?: CopyTime.NONE
    }

    private fun copyTimes(
        earlier: Send,
        sends: List<Send>,
    ): List<CopyTime> {
        val later = sends.firstOrNull { it.connection == earlier.connection && it.arrivedAt > earlier.arrivedAt }
        if (later == null) return emptyList()
        return earlier.copiedAt.map { at ->
            if (at < later.arrivedAt) CopyTime.BEFORE_LATER_SEND else CopyTime.DURING_LATER_SEND
        }
    }

    private fun mixed(outcome: CallerOutcome): List<Pair<Rule, String>> {
        if (outcome.unaskedBytes) return listOf(Rule.MIXED to "bytes before the request was sent")
        val answer = outcome.answer ?: return emptyList()
        val send = bySignature[answer.signature]
        val finding =
            when {
                "HTTP/1.1 " in answer.body -> "a head inside a body"
                answer.signature.isEmpty() -> "a success without a signature".takeIf { answer.isSuccess }
                send?.requestId != outcome.requestId -> "an answer to ${send?.requestId}"
                send.status != answer.status -> "a ${answer.status} where the endpoint answered ${send.status}"
                !answer.isSuccess -> null
                hasLaterFailure(send) -> "a success where the endpoint answered ${lastSendOver(send).status} at last"
                else -> return body(outcome, answer, send)
            }
        return listOfNotNull(finding?.let { Rule.MIXED to it })
    }

    private fun hasLaterFailure(send: Send): Boolean = !lastSendOver(send).isSuccess

    private fun body(
        outcome: CallerOutcome,
        answer: ReceivedAnswer,
        send: Send,
    ): List<Pair<Rule, String>> {
        val isRight = if (answer.isWhole) answer.body == send.body else send.body.startsWith(answer.body)
        if (isRight) return emptyList()
        val rule = if (outcome.kind == CallKind.STREAM) Rule.ORDER else Rule.MIXED
        return listOf(rule to "whole=${answer.isWhole} body <${answer.body}> of <${send.body}>")
    }

    private fun notIdempotent(
        outcome: CallerOutcome,
        sends: List<Send>,
    ): List<Pair<Rule, String>> {
        if (outcome.kind != CallKind.NON_IDEMPOTENT) return emptyList()
        val runs = sends.count { it.hasRun }
        val status = outcome.answer?.status
        return listOfNotNull(
            (Rule.TWICE to "$runs runs").takeIf { runs > 1 },
            (Rule.REFUSED to "$status and $runs runs").takeIf { status in PROMISES_NOT_RUN && runs > 0 },
        )
    }

    private companion object {
        /** Statuses that promise that the request has not run and never will. */
        val PROMISES_NOT_RUN = setOf(408, 421, 429, 503)
    }
}
