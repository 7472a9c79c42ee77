package dev.almondhaven.gateway.call

import dev.almondhaven.decision.traffic.EscalationConditions
import dev.almondhaven.decision.traffic.VersionConstraint
import dev.almondhaven.gateway.net.InFlightRequest
import dev.almondhaven.gateway.net.ResponseWriter
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.LogEvent
import dev.almondhaven.traffic.CallDemand
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * One request of a caller, from admission to the end of its answer: places attempts one after the other, hands over what
 * they bring, and decides whether to repeat. At any time one attempt at most is in work. Lives on the event loop.
 */
internal class Exchange(
    private val context: CallContext,
    val selection: EndpointSelector,
    private val call: AdmittedCall,
    private val port: ResponseWriter,
) : InFlightRequest {
    private val tried = LinkedHashSet<EndpointId>()
    private var attempt: Attempt? = null
    private var timeout: Future<*>? = null
    private var pause: Future<*>? = null
    private var finished = false

    /** Attempts that were sent, whatever became of them. */
    private var sends = 0

    /** Attempts that may have run. */
    private var runs = 0

    /** Whether a run may have had an effect that the caller must not be told to repeat. */
    private var unsettled = false
    private var model: String? = null
    private var lastFailure: ErrorResponse? = null

    /** Whether the caller has received the head of an answer. */
    private var begun = false
    private var lastEvent: Long? = call.demand.resumeAfter
    private var events = 0
    private var confidence: Int? = null
    private var backlogMillis: Int? = null
    private var firstMillis: Long? = null

    fun timeLeft(): Duration =
        (call.patience - context.clock.elapsed(call.request.receivedAt)).coerceAtLeast(Duration.ZERO)

    fun start() {
        val sized = call.route.models.isNotEmpty() && call.demand.model == CallDemand.ANY_MODEL
        if (sized) {
            model =
                context.sizing.firstModel(
                    call.route.models,
                    call.route.latencyObjective.inWholeMilliseconds,
                    ::expectedMillis,
                )
        }
        timeout = context.loop.schedule(::expired, timeLeft().inWholeMilliseconds, TimeUnit.MILLISECONDS)
        dispatch()
    }

    private fun dispatch() {
        pause = null
        if (finished) return
        val usable = selection.usable(call, versions())
        val demand = selection.demandOf(call.demand, model ?: call.demand.model)
        val chosen = selection.choose(usable, tried, demand) ?: return unplaced(usable.isNotEmpty())
        val next = Attempt(context, this, call, chosen, model)
        tried += chosen.state.listing.id
        sends++
        attempt = next
        next.start(if (begun) lastEvent else call.demand.resumeAfter)
    }

    /** No endpoint takes the request now. One that only bears few requests at the moment is worth a short wait. */
    private fun unplaced(someExist: Boolean) {
        val waited = context.clock.elapsed(call.request.receivedAt)
        if (someExist && waited < call.route.latencyObjective * WAIT_PART) {
            pause = context.loop.schedule(::dispatch, PLACE_AGAIN_MILLIS, TimeUnit.MILLISECONDS)
            return
        }
        giveUp("no endpoint takes the request; listed=${context.routing.endpointsOf(call.service).size}")
    }

    /** Whether the attempt in work may be given up for another one: without that the caller would be left with nothing. */
    fun mayRepeat(): Boolean =
        call.route.repeatable && runs + 1 < call.route.mostAttempts && mayRun() &&
            context.routing.budgetOf(call.service).available(context.clock.nanos()) >= 1

    /** Whether another attempt may run the request, with none in work. */
    private fun mayRun(): Boolean =
        (call.route.repeatable || !unsettled) && runs < call.route.mostAttempts &&
            sends < call.route.mostAttempts + NOT_RUN_SENDS

    /** The model to ask in place of the one whose answer begins with [confidence], or null to go on with it. */
    fun largerModel(
        attempt: Attempt,
        confidence: Int?,
    ): String? {
        val asked = attempt.model ?: return null
        val outlook = outlook()
        backlogMillis = outlook.prefillBacklogMillis.toInt()
        if (begun || runs + 2 > call.route.mostAttempts) return null
        val larger = context.sizing.escalationTarget(call.route.models, asked, confidence, outlook) ?: return null
        return larger.takeIf { spendRepeat(LARGER_MODELS_PART) }
    }

    private fun outlook(): EscalationConditions {
        val left = call.route.latencyObjective - context.clock.elapsed(call.request.receivedAt)
        val backlog = selection.backlogMillis(selection.usable(call, versions()))
        return EscalationConditions(left.inWholeMilliseconds.toDouble(), backlog, ::expectedMillis)
    }

    private fun expectedMillis(model: String): Double =
        selection.expectedMillis(selection.usable(call, versions()), selection.demandOf(call.demand, model))

    private fun versions(): VersionConstraint = context.rollOuts.versionFor(call.service, call.demand.session, call.id)

    fun attemptEnded(
        ended: Attempt,
        outcome: AttemptOutcome,
    ) {
        if (finished || ended !== attempt) return
        attempt = null
        LogEvent.ATTEMPT_ENDED.log(logger) {
            "request=${call.id} $ended outcome=${describe(outcome)} sends=$sends events=$events"
        }
        when (outcome) {
            is AttemptOutcome.NotExecuted -> repeatOrGiveUp(outcome.reason, spends = outcome.arrived)
            is AttemptOutcome.Escalated -> dropped(outcome)
            is AttemptOutcome.Failed -> refused(outcome)
            is AttemptOutcome.Unknown -> unknown(outcome)
        }
    }

    private fun describe(outcome: AttemptOutcome): String =
        when (outcome) {
            is AttemptOutcome.NotExecuted -> "not-run (${outcome.reason})"
            is AttemptOutcome.Escalated -> "dropped for ${outcome.model}"
            is AttemptOutcome.Failed -> "failed with ${outcome.answer.status}"
            is AttemptOutcome.Unknown -> "unknown (${outcome.reason})"
        }

    private fun dropped(outcome: AttemptOutcome.Escalated) {
        runs++
        model = outcome.model
        tried.clear()
        dispatch()
    }

    private fun refused(outcome: AttemptOutcome.Failed) {
        runs++
        unsettled = true
        lastFailure = outcome.answer
        repeatOrGiveUp("the endpoint answered ${outcome.answer.status}")
    }

    private fun unknown(outcome: AttemptOutcome.Unknown) {
        runs++
        unsettled = true
        repeatOrGiveUp(outcome.reason)
    }

    /** Sends the request to another endpoint. What never arrived anywhere [spends] nothing of the budget. */
    private fun repeatOrGiveUp(
        reason: String,
        spends: Boolean = true,
    ) {
        val repeats = mayRun() && timeLeft() > LEAST_TIME_TO_REPEAT
        if (repeats && (!spends || spendRepeat())) dispatch() else giveUp(reason)
    }

    private fun spendRepeat(part: Double = 1.0): Boolean =
        context.routing.budgetOf(call.service).trySpend(context.clock.nanos(), part)

    private fun giveUp(reason: String) {
        val failure = lastFailure
        when {
            begun -> {
                finish("cut: $reason") { port.abort() }
            }

            !unsettled -> {
                finish("not run: $reason") { port.answer(RouterResponse.notExecuted(call.id, retryAfter(), reason)) }
            }

            failure != null && !promises(failure) -> {
                finish("failure of the endpoint") {
                    port.answer(failure.status, failure.headers, failure.body)
                }
            }

            else -> {
                finish("failed: $reason") { port.answer(RouterResponse.of(BAD_GATEWAY, call.id, reason)) }
            }
        }
    }

    /** Whether the status of [failure] would promise that the request has not run, which the endpoint did not state. */
    private fun promises(failure: ErrorResponse): Boolean = failure.status in PROMISES_NOT_RUN

    private fun retryAfter(): Duration = RETRY_AFTER + (context.random.nextDouble() * RETRY_SPREAD_MILLIS).milliseconds

    fun eventsBegin(
        from: Attempt,
        status: Int,
        headers: List<Pair<String, String>>,
        confidence: Int?,
    ) {
        if (finished || from !== attempt) return
        if (begun) {
            LogEvent.ANSWER_RESUMED.log(logger) { "request=${call.id} $from after=$lastEvent" }
            return
        }
        begun = true
        this.confidence = confidence
        noteFirst()
        port.begin(status, headers)
    }

    fun event(event: StreamEvent) {
        if (finished) return
        val id = event.id
        val held = lastEvent
        // An endpoint that resumes may begin with what the caller has.
        if (id != null && held != null && id <= held) return
        if (id != null) lastEvent = id
        events++
        if (!port.more(event.bytes)) attempt?.read(enabled = false)
    }

    fun eventsEnd(from: Attempt) {
        if (from !== attempt) return
        finish("served") { port.complete() }
    }

    fun whole(
        from: Attempt,
        status: Int,
        headers: List<Pair<String, String>>,
        body: ByteArray,
    ) {
        if (from !== attempt) return
        noteFirst()
        finish("served") { port.answer(status, headers, body) }
    }

    private fun noteFirst() {
        firstMillis = context.clock.elapsed(call.request.receivedAt).inWholeMilliseconds
    }

    /** The caller has waited as long as the route or its own deadline allows. */
    private fun expired() {
        val running = attempt
        attempt = null
        running?.cancel()
        when {
            begun -> {
                finish("cut at the timeout") { port.abort() }
            }

            running == null && !unsettled -> {
                finish("not run in time") {
                    port.answer(RouterResponse.notExecuted(call.id, retryAfter(), "no endpoint in time"))
                }
            }

            else -> {
                finish("timed out") { port.answer(RouterResponse.of(GATEWAY_TIMEOUT, call.id, "no answer in time")) }
            }
        }
    }

    override fun onCallerDisconnected() {
        if (finished) return
        finish("the caller left") {}
    }

    override fun onCallerWritable() {
        attempt?.read(enabled = true)
    }

    private fun finish(
        outcome: String,
        deliver: () -> Unit,
    ) {
        if (finished) return
        finished = true
        timeout?.cancel(false)
        pause?.cancel(false)
        val last = attempt
        attempt = null
        last?.cancel()
        log(outcome, last)
        deliver()
    }

    private fun log(
        outcome: String,
        last: Attempt?,
    ): Unit =
        LogEvent.REQUEST_ENDED.log(logger) {
            "request=${call.id} route=${call.route.name} kind=${call.route.kind} organisation=${call.organisation} " +
                "session=${call.demand.session} outcome=\"$outcome\" $last sends=$sends runs=$runs events=$events " +
                "confidence=$confidence backlogMillis=$backlogMillis prompt=${call.demand.promptTokens} " +
                "output=${call.demand.outputTokens} " +
                "firstMillis=$firstMillis millis=${context.clock.elapsed(
                    call.request.receivedAt,
                ).inWholeMilliseconds} " +
                "configuration=${call.configuration.version} proofAge=${context.proof.age().inWholeMilliseconds}"
        }

    private companion object {
        const val BAD_GATEWAY = 502
        const val GATEWAY_TIMEOUT = 504
        val PROMISES_NOT_RUN = setOf(408, 421, 429, 503)

        /** Sends beyond the route's attempts, for endpoints that turned the request away or could not be reached. */
        const val NOT_RUN_SENDS = 4

        /** Part of the budget that larger models may take; the rest is left for requests that failed. */
        const val LARGER_MODELS_PART = 0.8
        const val PLACE_AGAIN_MILLIS = 40L

        /** Part of the latency objective that a request waits for an endpoint to admit it. */
        const val WAIT_PART = 0.5

        /** A shorter attempt can't succeed. */
        val LEAST_TIME_TO_REPEAT = 30.milliseconds

        /** An endpoint list heals within about a second; callers come back spread out. */
        val RETRY_AFTER = 150.milliseconds
        const val RETRY_SPREAD_MILLIS = 300.0
    }
}
