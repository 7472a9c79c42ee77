package dev.almondhaven.gateway.call

import dev.almondhaven.decision.traffic.PromptAdmission
import dev.almondhaven.decision.traffic.StallPolicy
import dev.almondhaven.decision.traffic.StreamPace
import dev.almondhaven.gateway.net.HeadAction
import dev.almondhaven.gateway.net.OutboundCall
import dev.almondhaven.gateway.net.OutboundListener
import dev.almondhaven.gateway.net.OutboundRequest
import dev.almondhaven.gateway.state.CancelledAttempt
import dev.almondhaven.gateway.state.EndpointHandle
import dev.almondhaven.gateway.state.TimedWork
import dev.almondhaven.model.LogEvent
import dev.almondhaven.platform.ForwardingParameters
import dev.almondhaven.platform.WireCalls
import dev.almondhaven.traffic.RequestKind
import dev.almondhaven.traffic.RequestMetadata
import dev.almondhaven.traffic.ResponseMetadata
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import java.io.ByteArrayOutputStream
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * One attempt of an [Exchange] at one endpoint: sends the request, checks the response and reports to the exchange at
 * most once how it ended. Must be used on the event loop only.
 *
 * @property model the model that is requested; null for plain services and where the caller named one.
 */
internal class Attempt(
    private val context: CallContext,
    private val exchange: Exchange,
    private val call: AdmittedCall,
    val endpoint: EndpointHandle,
    val model: String?,
) : OutboundListener {
    private enum class Stage {
        /** No usable response head has arrived. */
        WAITING,

        /** A stream of server-sent events is passed on. */
        EVENTS,

        /** A unary response is buffered. */
        WHOLE,

        /** An error response is buffered. */
        FAILURE,

        /** The endpoint states that it has not executed the request. */
        STATED_NOT_RUN,

        /** The attempt has ended; further callbacks are ignored. */
        SETTLED,
    }

    private val endpointState = endpoint.state
    private val startedAt = context.clock.nanos()

    /** What was left of the latency objective when the attempt started. */
    private val timeToObjective = call.route.latencyObjective - context.clock.elapsed(call.request.receivedAt)
    private var stage = Stage.WAITING
    private var outbound: OutboundCall? = null
    private var prefillMillis = 0.0
    private var uncachedTokens = 0
    private var prefillEnded = false

    /** Whether the request may have crashed an endpoint before. */
    private val isSuspect = exchange.isSuspect
    private val splitter = EventSplitter()
    private val bufferedBody = ByteArrayOutputStream()
    private val held = HeldBytes(context.bufferedBytes)
    private var discardedBytes = 0
    private var status = 0
    private var signature: String? = null

    /** How long work took on the endpoint's machine when it answered, in per cent of the usual; null if not stated. */
    private var machinePercent: Int? = null
    private var headers: List<Pair<String, String>> = emptyList()

    /** Whether the end of the connection is the end of the response. */
    private var isDelimitedByClose = false
    private var lastEventAt = 0L

    /** Whether nothing is read from the endpoint, since the caller has yet to read what was passed on. */
    private var isPaused = false

    /** Whether reading was ever paused, so that the times of the events tell nothing of the endpoint. */
    private var wasPaused = false
    private val pace = StreamPace()

    /** Events that the endpoint has sent, including those that the caller already had. */
    private var eventCount = 0

    /** Events that were new to the caller. */
    private var newEventCount = 0

    /** Whether the silence of the endpoint has been counted as a failure. */
    private var isSilenceCounted = false

    /** Whether the endpoint was idle enough at the start that the time of the answer tells its speed. */
    private var tellsSpeed = false

    /** Milliseconds from the start of the attempt to the first usable response head; null until it arrives. */
    var firstResponseMillis: Double? = null
        private set

    fun start(resumeAfter: Long?) {
        val listing = endpointState.listing
        val now = context.clock.nanos()
        val placementRequest = exchange.selector.placementRequest(call, model ?: call.demand.model)
        if (call.demand.promptTokens > 0) {
            val cachedTokens =
                endpointState.prefixCache.cachedTokens(placementRequest.model, placementRequest.promptParts)
            uncachedTokens = (placementRequest.promptTokens - cachedTokens).coerceAtLeast(0)
            prefillMillis = endpointState.prefillMillis(placementRequest.model, uncachedTokens)
            endpointState.prefixCache.recordPrefill(placementRequest.model, placementRequest.promptParts)
        }
        tellsSpeed = endpointState.isWarm(now) && endpointState.isUncontended(now)
        endpointState.recordStart(prefillMillis, now)
        if (isSuspect) endpoint.suspectsInFlight++
        context.placement.reachability.recordSent(listing.failureDomain, now)
        call.demand.session?.let { context.rollOuts.runStarted(call.service, it, listing.version) }
        context.peers.announcePrefillStart(prefillKey(), listing.id, prefillMillis)
        val terms =
            ForwardingParameters(
                endpoint = listing.id,
                deadline = exchange.remainingTime(),
                organisation = call.organisation,
                model = model,
                resumeAfter = resumeAfter,
                urgency = if (call.demand.promptTokens > 0) urgency() else null,
            )
        val requestHeaders = WireCalls.toEndpoint(call.request.headers, terms)
        val maxIdle = if (call.route.isRetryable) Duration.INFINITE else MAX_IDLE_NON_RETRYABLE
        context.watchdog.watch(this)
        outbound =
            endpoint.pool.send(
                OutboundRequest(call.request.method, call.request.target, requestHeaders, call.request.body, call.id),
                this,
                maxIdle,
            )
        if (stage == Stage.SETTLED) outbound?.cancel()
    }

    private fun urgency(): Int = (TOP_PRIORITY_URGENCY + call.priority).coerceIn(0, LOWEST_URGENCY)

    /** Cancels the request at the endpoint without reporting an outcome to the exchange. */
    fun cancel() {
        if (stage == Stage.SETTLED) return
        recordCancelled()
        settle()
        outbound?.cancel()
    }

    /** The endpoint may be at work on the request for a moment yet, and crash because of it. */
    private fun recordCancelled() {
        if (eventCount > 0) return
        endpoint.recordCancelled(
            CancelledAttempt(call.id, call.demand.sharedParts, stage == Stage.EVENTS, context.clock.nanos()),
        )
    }

    fun setAutoRead(enabled: Boolean) {
        // The endpoint was not silent for as long as nothing was read from it.
        if (isPaused && enabled) lastEventAt = context.clock.nanos()
        isPaused = !enabled
        wasPaused = wasPaused || isPaused
        outbound?.setAutoRead(enabled)
    }

    override fun onHead(
        status: Int,
        headers: HttpHeaders,
    ): HeadAction {
        val signals = WireCalls.parseResponse(status) { headers.get(it) }
        if (signals.requestId != null && signals.requestId != call.id) {
            LogEvent.ENDPOINT_ANSWER_BAD.log(logger) {
                "request=${call.id} endpoint=${endpointState.listing.id} connection=${outbound?.sendNumber} " +
                    "response to ${signals.requestId}"
            }
            return HeadAction.SKIP
        }
        if (signals.requestId == null && outbound?.isConnectionReused == true) {
            abandon("a response with status $status and without a request id")
            return HeadAction.TAKE
        }
        context.placement.reachability.recordReached(endpointState.listing.failureDomain)
        signals.load?.let {
            machinePercent = it.machinePercent
            endpointState.recordLoad(it, context.clock.nanos())
        }
        recordRateLimit(signals.requestsPerSecond)
        signals.coldLeft?.let {
            val now = context.clock.nanos()
            endpointState.warmUp.extendTo(now + it.inWholeNanoseconds, now)
        }
        this.status = status
        signature = signals.signature
        isDelimitedByClose =
            !headers.contains(HttpHeaderNames.CONTENT_LENGTH) && !headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
        this.headers = WireCalls.callerResponseHeaders(headers)
        stage = stageOf(status, signals, headers)
        when (stage) {
            Stage.EVENTS -> startStream(signals)
            Stage.SETTLED -> abandon("unusable success: ${rejection(status, signals, headers)}")
            else -> recordFirstResponse()
        }
        if (status == MISDIRECTED && !callerNamesModel) recordReplaced()
        return HeadAction.TAKE
    }

    /** An endpoint also answers [MISDIRECTED] to a model that it doesn't have, which only a caller can name. */
    private val callerNamesModel: Boolean
        get() = model == null && call.demand.model != null && call.demand.model != RequestMetadata.ANY_MODEL

    /** Avoids the endpoint: another process has its address, until its entry in the platform's list is removed. */
    private fun recordReplaced() {
        if (endpointState.recordUnreachable(context.clock.nanos(), context.random)) {
            LogEvent.ENDPOINT_EJECTED.log(logger) {
                "endpoint=${endpointState.listing.id} service=${call.service} replaced"
            }
        }
    }

    private fun recordRateLimit(perSecond: Double?) {
        val changed = endpointState.rateLimit.record(perSecond, startedAt, context.clock.nanos())
        if (!changed) return
        context.peers.announceLimit(endpointState.listing.id, perSecond)
        LogEvent.ENDPOINT_LIMIT_CHANGED.log(logger) {
            "endpoint=${endpointState.listing.id} service=${call.service} perSecond=$perSecond request=${call.id}"
        }
    }

    private fun stageOf(
        status: Int,
        signals: ResponseMetadata,
        headers: HttpHeaders,
    ): Stage =
        when {
            signals.notRun -> Stage.STATED_NOT_RUN
            status !in SUCCESS -> Stage.FAILURE
            rejection(status, signals, headers) != null -> Stage.SETTLED
            isEventStream(status, headers) && !isHeadOnly -> Stage.EVENTS
            else -> Stage.WHOLE
        }

    /** Whether the head of a response is all of it. */
    private val isHeadOnly: Boolean get() = call.request.method == "HEAD"

    /** Why a success can't be passed on; null if it can. */
    private fun rejection(
        status: Int,
        signals: ResponseMetadata,
        headers: HttpHeaders,
    ): String? =
        when {
            !signals.isSigned -> "no signature"
            !exchange.responseStarted -> null
            !isEventStream(status, headers) -> "no events to go on with"
            headers.contains(HttpHeaderNames.CONTENT_ENCODING) -> "encoded events after plain ones"
            else -> null
        }

    private fun isEventStream(
        status: Int,
        headers: HttpHeaders,
    ): Boolean = status !in WITHOUT_CONTENT && headers.get("Content-Type")?.startsWith("text/event-stream") == true

    private fun recordFirstResponse() {
        if (firstResponseMillis != null) return
        val millis = (context.clock.nanos() - startedAt) / NANOS_PER_MILLI
        firstResponseMillis = millis
        lastEventAt = context.clock.nanos()
        val isSuccess = stage == Stage.EVENTS || stage == Stage.WHOLE
        if (!isSuccess || !tellsSpeed) return
        // The usual time at any endpoint: a version that is slow must not pass for slow hardware.
        val usualMillis =
            endpointState.prefillSpeed.estimateMillis(
                model ?: call.demand.model.orEmpty(),
                uncachedTokens,
            )
        val work = TimedWork(call.route.name, model, usualMillis)
        context.rollOuts.recordTime(call.service, endpointState.listing.version, work, millis)
    }

    private fun startStream(signals: ResponseMetadata) {
        recordFirstResponse()
        endPrefill()
        firstResponseMillis?.let {
            endpointState.recordFirstEvent(model ?: call.demand.model.orEmpty(), uncachedTokens, it)
        }
        val larger = exchange.chooseLargerModel(this, signals.confidence)
        if (larger != null) {
            recordSuccess()
            recordCancelled()
            settle()
            outbound?.cancel()
            exchange.onAttemptEnd(this, AttemptOutcome.Escalated(larger))
        } else {
            exchange.onStreamStart(this, status, headers, signals.confidence)
        }
    }

    private fun endPrefill() {
        if (prefillEnded) return
        prefillEnded = true
        endpointState.recordPrefillEnd(prefillMillis)
        context.peers.announcePrefillEnd(prefillKey(), endpointState.listing.id, prefillMillis)
    }

    private fun prefillKey(): String = "${call.id}/$model"

    override fun onContent(bytes: ByteBuf) {
        val chunk = ByteArray(bytes.readableBytes())
        bytes.readBytes(chunk)
        when (stage) {
            Stage.EVENTS -> passOn(chunk)
            Stage.WHOLE, Stage.FAILURE -> buffer(chunk)
            Stage.STATED_NOT_RUN -> discard(chunk)
            else -> Unit
        }
    }

    /** Passes complete events on. Bytes that complete none are no progress: a stalled endpoint may trickle them. */
    private fun passOn(chunk: ByteArray) {
        val events = splitter.append(chunk)
        if (eventCount > 0) pace.record((context.clock.nanos() - lastEventAt) / NANOS_PER_MILLI, events.size)
        if (events.isNotEmpty()) lastEventAt = context.clock.nanos()
        if (events.isNotEmpty() && eventCount == 0) context.promptQuarantine.recordAnswer(call.demand.sharedParts)
        eventCount += events.size
        newEventCount += events.count(exchange::onEvent)
        if (stage != Stage.EVENTS) return
        if (splitter.isOversized || !held.tryResize(splitter.partialBytes)) abandon("an event without end")
    }

    private fun buffer(chunk: ByteArray) {
        lastEventAt = context.clock.nanos()
        val size = bufferedBody.size() + chunk.size
        val fits = size <= MAX_BUFFERED_BYTES && held.tryResize(size)
        if (fits) bufferedBody.write(chunk) else abandon("too large to hold")
    }

    /** The head alone states that the request was not run; a body without end must not delay the next attempt. */
    private fun discard(chunk: ByteArray) {
        discardedBytes += chunk.size
        if (discardedBytes > MAX_DISCARDED_BYTES) endNotExecuted()
    }

    private fun endNotExecuted() {
        outbound?.cancel()
        report(notExecuted())
    }

    override fun onEnd() {
        when (stage) {
            Stage.EVENTS -> {
                when {
                    splitter.hasPartialEvent -> breakOff("ended in the middle of an event")
                    isDelimitedByClose && newEventCount == 0 -> breakOff("ended without a new event")
                    else -> succeed { exchange.onStreamEnd(this) }
                }
            }

            Stage.WHOLE -> {
                succeed { exchange.onUnaryResponse(this, status, headers, bufferedBody.toByteArray()) }
            }

            Stage.FAILURE -> {
                endFailure()
            }

            Stage.STATED_NOT_RUN -> {
                report(notExecuted())
            }

            else -> {
                Unit
            }
        }
    }

    /** Ends a response whose connection ended in good order, but too early. */
    private fun breakOff(reason: String) {
        recordFailure()
        report(AttemptOutcome.Unknown(reason, mayHaveCrashed = recordBroken()))
    }

    private fun endFailure() {
        recordEvidence(failed = true)
        recordFailure()
        report(AttemptOutcome.Failed(ErrorResponse(status, headers, bufferedBody.toByteArray())))
    }

    private fun succeed(deliver: () -> Unit) {
        recordSuccess()
        recordEvidence(failed = false)
        settle()
        deliver()
    }

    private fun recordEvidence(failed: Boolean): Unit =
        context.rollOuts.recordResponse(call.service, endpointState.listing.version, call.route.name, failed)

    override fun onFailure(
        sent: Boolean,
        reason: String,
    ) {
        if (stage == Stage.SETTLED) return
        if (sent) recordFailure() else recordUnreachable()
        if (sent && stage == Stage.WAITING) context.peers.announceFailure(endpointState.listing.id)
        report(
            when {
                !sent -> AttemptOutcome.NotExecuted("no connection: $reason", reachedEndpoint = false)
                stage == Stage.STATED_NOT_RUN -> notExecuted()
                else -> AttemptOutcome.Unknown(reason, mayHaveCrashed = recordBroken())
            },
        )
    }

    /** Records a broken connection; true if this request may have crashed the endpoint. */
    private fun recordBroken(): Boolean {
        val parts = call.demand.sharedParts
        if (eventCount > 0) {
            context.promptQuarantine.recordBroken(endpoint)
            return false
        }
        context.promptQuarantine.recordUnanswered(endpoint, call.id, parts, responseStarted = stage == Stage.EVENTS)
        return context.promptQuarantine.mayCrash(parts)
    }

    private fun notExecuted() =
        AttemptOutcome.NotExecuted("the endpoint answered $status and has not run it", reachedEndpoint = true)

    /** Discards the response as unusable and cancels the request. */
    private fun abandon(reason: String) {
        recordFailure()
        recordCancelled()
        stage = Stage.WAITING
        outbound?.cancel()
        report(AttemptOutcome.Unknown(reason))
    }

    private fun report(outcome: AttemptOutcome) {
        settle()
        exchange.onAttemptEnd(this, outcome)
    }

    private fun settle() {
        if (stage == Stage.SETTLED) return
        stage = Stage.SETTLED
        context.watchdog.release(this)
        held.release()
        endPrefill()
        endpointState.recordEnd(context.clock.nanos())
        if (isSuspect) endpoint.suspectsInFlight--
        call.demand.session?.let { context.rollOuts.runEnded(call.service, it, endpointState.listing.version) }
    }

    private fun recordSuccess() {
        val paceMillis = pace.medianMillis
        if (paceMillis != null && !wasPaused) {
            endpointState.recordPace(model ?: call.demand.model.orEmpty(), paceMillis, context.clock.nanos())
        }
        endpointState.recordSuccess(context.clock.nanos())
    }

    private fun recordFailure() {
        if (endpointState.recordFailure(context.clock.nanos(), context.random)) {
            LogEvent.ENDPOINT_EJECTED.log(logger) { "endpoint=${endpointState.listing.id} service=${call.service}" }
        }
    }

    private fun recordUnreachable() {
        val listing = endpointState.listing
        context.placement.reachability.recordUnreachable(listing.failureDomain, listing.id, context.clock.nanos())
        if (endpointState.recordUnreachable(context.clock.nanos(), context.random)) {
            LogEvent.ENDPOINT_EJECTED.log(
                logger,
            ) { "endpoint=${endpointState.listing.id} service=${call.service} unreachable" }
        }
    }

    /** Cancels the request if its prompt is quarantined and its answer has not begun: it would crash the endpoint. */
    fun endIfQuarantined() {
        if (stage == Stage.SETTLED || eventCount > 0) return
        val admission = context.promptQuarantine.admission(call.id, call.demand.sharedParts)
        if (admission !is PromptAdmission.Quarantined) return
        recordCancelled()
        outbound?.cancel()
        report(AttemptOutcome.Quarantined(admission.parts))
    }

    /** Fails the attempt, or counts a failure of the endpoint, if the response has stalled. */
    fun checkStalled() {
        if (isPaused) return
        val now = context.clock.nanos()
        if (stage == Stage.STATED_NOT_RUN) {
            if ((now - lastEventAt).nanoseconds > NOT_RUN_BODY_TIMEOUT) endNotExecuted()
            return
        }
        val since = if (firstResponseMillis == null) startedAt else lastEventAt
        val silence = (now - since).nanoseconds
        if (silence < shortestTimeout(now)) return
        if (!call.route.isRetryable) return countSilence()
        if (silence < timeout(now)) return
        val endpointSilence = (now - maxOf(endpoint.lastReceivedAt, startedAt)).nanoseconds
        val endpointAlive = call.route.kind == RequestKind.STREAMING && endpointSilence < ENDPOINT_ALIVE_WINDOW
        if (endpointAlive && silence < MAX_EVENT_GAP) return
        // If the endpoint's other connections are alive, only this connection is broken.
        if (!exchange.canMove(this, mayReconnect = endpointAlive)) return countSilence()
        abandon("silent for $silence, the endpoint for $endpointSilence")
    }

    /** A silence that never counts as a stall. */
    private fun shortestTimeout(now: Long): Duration =
        when {
            call.demand.promptTokens == 0 -> {
                plainTimeout()
            }

            firstResponseMillis == null -> {
                StallPolicy.shortestFirstEventTimeout(
                    endpointState.prefillBacklogMillis(now),
                )
            }

            else -> {
                StallPolicy.shortestEventTimeout(endpointState.prefillBacklogMillis(now))
            }
        }

    /** The silence after which the request goes to another endpoint, or on another connection if there is no other one. */
    private fun timeout(now: Long): Duration {
        if (call.demand.promptTokens == 0) return plainTimeout()
        val backlog = endpointState.prefillBacklogMillis(now)
        val elsewhere = exchange.expectedMillisElsewhere(this)
        val timeout =
            if (firstResponseMillis == null) {
                StallPolicy.firstEventTimeout(timeToObjective, backlog, elsewhere)
            } else {
                StallPolicy.eventTimeout(call.route.eventGapObjective, backlog, elsewhere)
            }
        return if (timeout.isFinite()) timeout else MAX_EVENT_GAP
    }

    private fun plainTimeout(): Duration =
        if (firstResponseMillis == null) {
            (call.route.latencyObjective * OBJECTIVES_UNTIL_RETRY).coerceAtLeast(MIN_FIRST_RESPONSE_TIMEOUT)
        } else {
            StallPolicy.shortestEventTimeout(0.0)
        }

    /**
     * Counts a failure against the endpoint, so that other requests avoid it, and keeps waiting: this request can't be
     * retried.
     */
    private fun countSilence() {
        if (isSilenceCounted) return
        isSilenceCounted = true
        recordFailure()
    }

    override fun toString(): String =
        "endpoint=${endpointState.listing.id} version=${endpointState.listing.version} model=$model " +
            "unread=$uncachedTokens readingMillis=${prefillMillis.toInt()} slowness=${describe(
                endpointState.speed.slowness,
            )} " +
            "machinePercent=$machinePercent " +
            "attemptMillis=${firstResponseMillis?.toInt()} attemptEvents=$eventCount " +
            "connection=${outbound?.sendNumber} status=$status signature=$signature"

    private fun describe(factor: Double): String = String.format(Locale.ROOT, "%.2f", factor)

    private companion object {
        val SUCCESS = 200..299

        /** Statuses of responses that never have a body. */
        val WITHOUT_CONTENT = setOf(204, 205)
        const val NANOS_PER_MILLI = 1e6

        /** Status of an endpoint that is not the intended one. */
        const val MISDIRECTED = 421

        /** Limit on a buffered response body, 4 MiB; responses of plain services are a few kilobytes. */
        const val MAX_BUFFERED_BYTES = 4_194_304

        /** Limits on the body of a response that states that the request was not run. */
        const val MAX_DISCARDED_BYTES = 65_536
        val NOT_RUN_BODY_TIMEOUT = 200.milliseconds

        /**
         * Urgency of priority 0. The endpoints' default urgency is 5; the most urgent priority ranks two classes ahead
         * of it.
         */
        const val TOP_PRIORITY_URGENCY = 3
        const val LOWEST_URGENCY = 9

        /**
         * An endpoint may be closing a connection that was idle for longer, which must not carry a request that can't
         * be retried.
         */
        val MAX_IDLE_NON_RETRYABLE = 1.seconds

        /** An engine that has sent anything on any of its connections within this time is not stalled. */
        val ENDPOINT_ALIVE_WINDOW = 300.milliseconds
        val MAX_EVENT_GAP = 4_000.milliseconds

        /**
         * Number of latency objectives after which a plain service is retried: the response is late in any case by
         * then, and another endpoint is likely faster.
         */
        const val OBJECTIVES_UNTIL_RETRY = 1.5
        val MIN_FIRST_RESPONSE_TIMEOUT = 100.milliseconds
    }
}
