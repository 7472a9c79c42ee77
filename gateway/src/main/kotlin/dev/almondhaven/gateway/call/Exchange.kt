package dev.almondhaven.gateway.call

import dev.almondhaven.decision.traffic.EscalationConditions
import dev.almondhaven.decision.traffic.PromptAdmission
import dev.almondhaven.decision.traffic.VersionConstraint
import dev.almondhaven.gateway.net.InFlightRequest
import dev.almondhaven.gateway.net.ResponseWriter
import dev.almondhaven.gateway.state.EndpointHandle
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.LogEvent
import dev.almondhaven.traffic.RequestMetadata
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * One request of a caller, from admission to the end of its response: starts attempts one after the other, passes their
 * responses on, and decides whether to retry. At most one attempt is in flight at any time. Must be used on the event
 * loop only.
 */
internal class Exchange(
    private val context: CallContext,
    val selector: EndpointSelector,
    private val call: AdmittedCall,
    private val writer: ResponseWriter,
) : InFlightRequest {
    private val tried = HashSet<EndpointId>()
    private var lastTried: EndpointId? = null
    private var attempt: Attempt? = null
    private var timeout: Future<*>? = null
    private var placementRetry: Future<*>? = null
    private var isFinished = false

    /** Attempts that were sent, whatever their outcome. */
    private var sends = 0

    /**
     * Attempts that the endpoint may have executed, also those whose answer was discarded for a larger model's: after one
     * the caller must not be told that the request was not executed.
     */
    private var executions = 0

    /** Whether an attempt failed or was lost after the endpoint may have executed it. */
    private var mayHaveExecuted = false
    private var model: String? = null
    private var lastErrorResponse: ErrorResponse? = null

    /** The endpoint that gave [lastErrorResponse]. */
    private var lastFailed: EndpointHandle? = null

    /** Whether an endpoint may have crashed because of this request. */
    var isSuspect = false
        private set

    /** Whether the head of the response has been sent to the caller. */
    var responseStarted = false
        private set
    private var lastEventId: Long? = call.demand.resumeAfter

    /** Whether the caller has received an event without an id, which a resumption would repeat or leave out. */
    private var hasUnnumberedEvent = false
    private var eventCount = 0
    private var confidence: Int? = null
    private var backlogMillis: Int? = null
    private var firstResponseMillis: Long? = null

    fun remainingTime(): Duration =
        (call.timeLimit - context.clock.elapsed(call.request.receivedAt)).coerceAtLeast(Duration.ZERO)

    fun start() {
        val routerChoosesModel = call.route.models.isNotEmpty() && call.demand.model == RequestMetadata.ANY_MODEL
        if (routerChoosesModel) model = chooseFirstModel()
        timeout = context.loop.schedule(::onTimeout, remainingTime().inWholeMilliseconds, TimeUnit.MILLISECONDS)
        dispatch()
    }

    private fun chooseFirstModel(): String {
        val objectiveMillis = call.route.latencyObjective.inWholeMilliseconds
        return if (call.route.isRetryable) {
            context.cascade.firstModel(call.route.models, objectiveMillis, ::expectedMillis)
        } else {
            context.cascade.onlyModel(call.route.models, objectiveMillis, ::expectedMillis)
        }
    }

    private fun dispatch() {
        placementRetry = null
        if (isFinished) return
        when (val admission = context.promptQuarantine.admission(call.id, call.demand.sharedParts)) {
            is PromptAdmission.Admitted -> {
                send()
            }

            is PromptAdmission.Deferred -> {
                dispatchAfter(PLACEMENT_RETRY_MILLIS)
            }

            is PromptAdmission.Quarantined -> {
                fail(
                    "prompt parts ${admission.parts} crash endpoints",
                    admission.remaining,
                )
            }
        }
    }

    private fun dispatchAfter(millis: Long) {
        placementRetry = context.loop.schedule(::dispatch, millis, TimeUnit.MILLISECONDS)
    }

    private fun send() {
        val eligible = selector.eligibleEndpoints(call, versions())
        val placementRequest = selector.placementRequest(call, model ?: call.demand.model)
        val chosen =
            selector.choose(eligible, tried, placementRequest, lastTried, isSuspect)
                ?: return onNoEndpoint(eligible.size)
        val next = Attempt(context, this, call, chosen, model)
        val id = chosen.state.listing.id
        tried += id
        lastTried = id
        sends++
        attempt = next
        next.start(if (responseStarted) lastEventId else call.demand.resumeAfter)
    }

    /**
     * Handles that no endpoint admits the request now. If endpoints exist, for example cold ones at their request rate
     * limit, a short wait is worthwhile. A response that has begun waits until the route's timeout: it would be cut off
     * otherwise.
     */
    private fun onNoEndpoint(eligible: Int) {
        val waited = context.clock.elapsed(call.request.receivedAt)
        val mayWait = responseStarted || waited < call.route.latencyObjective * PLACEMENT_WAIT_SHARE
        if (eligible > 0 && mayWait) return dispatchAfter(PLACEMENT_RETRY_MILLIS)
        val listed = context.routing.endpointsOf(call.service).size
        fail("no endpoint takes the request; listed=$listed eligible=$eligible")
    }

    /**
     * Whether [running], the attempt in flight, may be abandoned for another one: an endpoint takes the request at once.
     * Abandoning it otherwise could leave the caller without a response.
     *
     * @param mayReconnect whether the next attempt may go to the same endpoint, on another connection.
     */
    fun canMove(
        running: Attempt,
        mayReconnect: Boolean,
    ): Boolean =
        call.route.isRetryable && executions + 1 < call.route.maxAttempts && canAttempt() &&
            remainingTime() > MIN_TIME_TO_RETRY &&
            context.routing.retryBudgetOf(call.service).available(context.clock.nanos()) >= RETRIES_PER_MOVE &&
            context.promptQuarantine.admission(call.id, call.demand.sharedParts) is PromptAdmission.Admitted &&
            canPlace(if (mayReconnect) null else running.endpoint, running.model)

    /** Whether an endpoint other than [excluded] admits the request on [model] now. */
    private fun canPlace(
        excluded: EndpointHandle?,
        model: String?,
    ): Boolean {
        val eligible = selector.eligibleEndpoints(call, versions()).filter { it !== excluded }
        val placementRequest = selector.placementRequest(call, model ?: call.demand.model)
        return selector.choose(eligible, emptySet(), placementRequest) != null
    }

    /** Whether the request may be sent once more, given that no attempt is in flight. */
    private fun canAttempt(): Boolean =
        !hasUnnumberedEvent && (call.route.isRetryable || !mayHaveExecuted) && executions < call.route.maxAttempts &&
            sends < call.route.maxAttempts + MAX_NOT_EXECUTED_SENDS

    /**
     * Returns the larger model to escalate to from an answer that begins with [confidence], and takes a retry from the
     * budget for it; null to keep the answer. A request that may run only once keeps it: a discarded run is a run.
     */
    fun chooseLargerModel(
        attempt: Attempt,
        confidence: Int?,
    ): String? {
        val currentModel = attempt.model ?: return null
        val conditions = escalationConditions()
        backlogMillis = conditions.prefillBacklogMillis.toInt()
        if (!call.route.isRetryable || responseStarted || executions + 2 > call.route.maxAttempts) return null
        val larger =
            context.cascade.escalationTarget(call.route.models, currentModel, confidence, conditions) ?: return null
        // Escalating discards the smaller model's answer, so an endpoint must take the larger one first.
        return larger.takeIf { canPlace(excluded = null, larger) && spendRetry(ESCALATION_BUDGET_SHARE) }
    }

    private fun escalationConditions(): EscalationConditions {
        val timeToObjective = call.route.latencyObjective - context.clock.elapsed(call.request.receivedAt)
        val backlog = selector.backlogMillis(selector.eligibleEndpoints(call, versions()))
        return EscalationConditions(timeToObjective.inWholeMilliseconds.toDouble(), backlog, ::expectedMillis)
    }

    private fun expectedMillis(model: String): Double =
        selector.expectedMillis(
            selector.eligibleEndpoints(call, versions()),
            selector.placementRequest(call, model),
        )

    /** Expected milliseconds until another endpoint than that of [attempt] begins its response. */
    fun expectedMillisElsewhere(attempt: Attempt): Double =
        selector.expectedMillis(
            selector.eligibleEndpoints(call, versions()) - attempt.endpoint,
            selector.placementRequest(call, attempt.model ?: call.demand.model),
        )

    private fun versions(): VersionConstraint = context.rollOuts.versionFor(call.service, call.demand.session, call.id)

    fun onAttemptEnd(
        ended: Attempt,
        outcome: AttemptOutcome,
    ) {
        if (isFinished || ended !== attempt) return
        attempt = null
        LogEvent.ATTEMPT_ENDED.log(logger) {
            "request=${call.id} $ended outcome=${describe(outcome)} sends=$sends events=$eventCount " +
                "parts=${call.demand.sharedParts}"
        }
        when (outcome) {
            is AttemptOutcome.NotExecuted -> retryOrFail(outcome.reason, usesBudget = outcome.reachedEndpoint)
            is AttemptOutcome.Escalated -> onEscalated(outcome)
            is AttemptOutcome.Failed -> onErrorResponse(ended, outcome)
            is AttemptOutcome.Unknown -> onUnknownOutcome(outcome)
            is AttemptOutcome.Quarantined -> onQuarantined(outcome)
        }
    }

    private fun describe(outcome: AttemptOutcome): String =
        when (outcome) {
            is AttemptOutcome.NotExecuted -> "not executed (${outcome.reason})"
            is AttemptOutcome.Escalated -> "escalated to ${outcome.model}"
            is AttemptOutcome.Failed -> "failed with ${outcome.response.status}"
            is AttemptOutcome.Unknown -> "unknown (${outcome.reason})"
            is AttemptOutcome.Quarantined -> "cancelled (prompt parts ${outcome.parts} quarantined)"
        }

    private fun onEscalated(outcome: AttemptOutcome.Escalated) {
        executions++
        model = outcome.model
        tried.clear()
        lastTried = null
        dispatch()
    }

    private fun onErrorResponse(
        ended: Attempt,
        outcome: AttemptOutcome.Failed,
    ) {
        executions++
        mayHaveExecuted = true
        val first = lastFailed
        if (first != null && first !== ended.endpoint && lastErrorResponse?.status == outcome.response.status) {
            // The error belongs to the request, since two endpoints give it.
            listOf(first, ended.endpoint).forEach { it.state.retractFailure(context.clock.nanos()) }
        }
        lastFailed = ended.endpoint
        lastErrorResponse = outcome.response
        retryOrFail("the endpoint answered ${outcome.response.status}")
    }

    private fun onQuarantined(outcome: AttemptOutcome.Quarantined) {
        executions++
        mayHaveExecuted = true
        fail("prompt parts ${outcome.parts} crash endpoints")
    }

    private fun onUnknownOutcome(outcome: AttemptOutcome.Unknown) {
        executions++
        mayHaveExecuted = true
        isSuspect = isSuspect || outcome.mayHaveCrashed
        retryOrFail(outcome.reason, delayMillis = if (outcome.mayHaveCrashed) CRASH_REPORT_MILLIS else 0)
    }

    /**
     * Sends the request to another endpoint, or fails it. [usesBudget] is false for a request that never reached an
     * endpoint: its retry takes nothing from the retry budget.
     */
    private fun retryOrFail(
        reason: String,
        usesBudget: Boolean = true,
        delayMillis: Long = 0,
    ) {
        val mayRetry = canAttempt() && remainingTime() > MIN_TIME_TO_RETRY
        when {
            !mayRetry || (usesBudget && !spendRetry()) -> fail(reason)
            delayMillis > 0 -> dispatchAfter(delayMillis)
            else -> dispatch()
        }
    }

    private fun spendRetry(share: Double = 1.0): Boolean =
        context.routing.retryBudgetOf(call.service).trySpend(context.clock.nanos(), share)

    private fun fail(
        reason: String,
        retryAfter: Duration = retryAfter(),
    ) {
        val failure = lastErrorResponse
        when {
            responseStarted -> {
                finish("truncated: $reason") { writer.abort() }
            }

            executions == 0 -> {
                finish("not executed: $reason") {
                    writer.respond(RouterResponse.notExecuted(call.id, retryAfter, reason))
                }
            }

            failure != null && !claimsNotExecuted(failure) -> {
                finish("endpoint error") {
                    writer.respond(failure.status, failure.headers, failure.body)
                }
            }

            else -> {
                finish("failed: $reason") { writer.respond(RouterResponse.of(BAD_GATEWAY, call.id, reason)) }
            }
        }
    }

    /**
     * Whether the status of [failure] would tell the caller that the request was not executed, which the endpoint did
     * not state.
     */
    private fun claimsNotExecuted(failure: ErrorResponse): Boolean = failure.status in STATUSES_CLAIMING_NOT_EXECUTED

    private fun retryAfter(): Duration =
        RETRY_AFTER + (context.random.nextDouble() * RETRY_AFTER_JITTER_MILLIS).milliseconds

    fun onStreamStart(
        from: Attempt,
        status: Int,
        headers: List<Pair<String, String>>,
        confidence: Int?,
    ) {
        if (isFinished || from !== attempt) return
        if (responseStarted) {
            LogEvent.ANSWER_RESUMED.log(logger) { "request=${call.id} $from after=$lastEventId" }
            return
        }
        responseStarted = true
        this.confidence = confidence
        recordFirstResponse()
        writer.beginResponse(status, headers)
    }

    /** Passes [event] on; returns false if the caller already has it, or gets no more. */
    fun onEvent(event: StreamEvent): Boolean {
        if (isFinished) return false
        val id = event.id
        val received = lastEventId
        // A resuming endpoint may repeat events that the caller already has.
        if (id != null && received != null && id <= received) return false
        if (id != null) {
            lastEventId = id
        } else if (carriesData(event)) {
            hasUnnumberedEvent = true
        }
        eventCount++
        if (!writer.write(event.bytes)) attempt?.setAutoRead(enabled = false)
        return true
    }

    /** False for a comment, for example, which keeps a silent connection open and may be left out. */
    private fun carriesData(event: StreamEvent): Boolean =
        String(event.bytes, Charsets.ISO_8859_1).lineSequence().any { it.startsWith("data") }

    fun onStreamEnd(from: Attempt) {
        if (from !== attempt) return
        finish("served") { writer.complete() }
    }

    fun onUnaryResponse(
        from: Attempt,
        status: Int,
        headers: List<Pair<String, String>>,
        body: ByteArray,
    ) {
        if (from !== attempt) return
        recordFirstResponse()
        finish("served") { writer.respond(status, headers, body) }
    }

    private fun recordFirstResponse() {
        firstResponseMillis = context.clock.elapsed(call.request.receivedAt).inWholeMilliseconds
    }

    /** Ends the request at the route's timeout or the caller's own deadline. */
    private fun onTimeout() {
        val running = attempt
        attempt = null
        running?.cancel()
        when {
            responseStarted -> {
                finish("truncated at the timeout") { writer.abort() }
            }

            running == null && executions == 0 -> {
                finish("not executed in time") {
                    writer.respond(RouterResponse.notExecuted(call.id, retryAfter(), "no endpoint in time"))
                }
            }

            else -> {
                finish("timed out") { writer.respond(RouterResponse.of(GATEWAY_TIMEOUT, call.id, "no answer in time")) }
            }
        }
    }

    override fun onCallerDisconnected() {
        if (isFinished) return
        finish("caller disconnected") {}
    }

    override fun onShutdown() {
        val running = attempt
        attempt = null
        if (running != null) {
            running.cancel()
            executions++
        }
        fail("the router stops")
    }

    override fun onCallerWritable() {
        attempt?.setAutoRead(enabled = true)
    }

    private fun finish(
        outcome: String,
        deliver: () -> Unit,
    ) {
        if (isFinished) return
        isFinished = true
        timeout?.cancel(false)
        placementRetry?.cancel(false)
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
                "session=${call.demand.session} outcome=\"$outcome\" $last sends=$sends " +
                "runs=$executions events=$eventCount confidence=$confidence " +
                "backlogMillis=$backlogMillis prompt=${call.demand.promptTokens} output=${call.demand.outputTokens} " +
                "parts=${call.demand.sharedParts} " +
                "firstMillis=$firstResponseMillis millis=${context.clock.elapsed(
                    call.request.receivedAt,
                ).inWholeMilliseconds} " +
                "configuration=${call.configuration.version} " +
                "proofAge=${context.configurationWatcher.confirmationAge().inWholeMilliseconds}"
        }

    private companion object {
        const val BAD_GATEWAY = 502
        const val GATEWAY_TIMEOUT = 504
        val STATUSES_CLAIMING_NOT_EXECUTED = setOf(408, 421, 429, 503)

        /**
         * Sends in addition to the route's attempts, for endpoints that rejected the request or could not be reached.
         */
        const val MAX_NOT_EXECUTED_SENDS = 4

        /**
         * Share of the retry budget that escalations to larger models may use; the rest is reserved for requests that
         * failed.
         */
        const val ESCALATION_BUDGET_SHARE = 0.8
        const val PLACEMENT_RETRY_MILLIS = 40L

        /** Retries that must be available for a move: one for itself, and one in case that the next endpoint refuses it. */
        const val RETRIES_PER_MOVE = 2

        /** Time in which routers learn of a crash and of the other requests that met it. */
        const val CRASH_REPORT_MILLIS = 25L

        /** Share of the latency objective that a request waits for an endpoint to admit it. */
        const val PLACEMENT_WAIT_SHARE = 0.5

        /** A shorter attempt can't succeed. */
        val MIN_TIME_TO_RETRY = 30.milliseconds

        /** An endpoint list recovers within about a second; jitter spreads the callers' retries. */
        val RETRY_AFTER = 150.milliseconds
        const val RETRY_AFTER_JITTER_MILLIS = 300.0
    }
}
