package dev.almondhaven.gateway.call

import dev.almondhaven.gateway.net.HeadAction
import dev.almondhaven.gateway.net.OutboundCall
import dev.almondhaven.gateway.net.OutboundListener
import dev.almondhaven.gateway.net.OutboundRequest
import dev.almondhaven.gateway.state.EndpointHandle
import dev.almondhaven.model.LogEvent
import dev.almondhaven.platform.EndpointTerms
import dev.almondhaven.platform.WireCalls
import dev.almondhaven.traffic.AnswerSigns
import dev.almondhaven.traffic.RequestKind
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * One attempt of an [Exchange] at one endpoint: sends the request, judges the answer and reports to the exchange, at most
 * once with how it ended. Lives on the event loop.
 *
 * @property model the model that is asked; null for plain services and where the caller named one.
 */
internal class Attempt(
    private val context: CallContext,
    private val exchange: Exchange,
    private val call: AdmittedCall,
    val endpoint: EndpointHandle,
    val model: String?,
) : OutboundListener {
    private enum class Stage { WAITING, EVENTS, WHOLE, FAILURE, STATED_NOT_RUN, SETTLED }

    private val state = endpoint.state
    private val startedAt = context.clock.nanos()
    private var stage = Stage.WAITING
    private var outbound: OutboundCall? = null
    private var reading = 0.0
    private var unread = 0
    private var readingEnded = false
    private val splitter = EventSplitter()
    private val held = ByteArrayOutputStream()
    private var status = 0
    private var headers: List<Pair<String, String>> = emptyList()
    private var lastEventAt = 0L
    private var suspected = false

    /** Milliseconds from the start to the first usable sign of an answer; null before it. */
    var firstAnswerMillis: Double? = null
        private set

    fun start(resumeAfter: Long?) {
        val listing = state.listing
        val now = context.clock.nanos()
        val demand = exchange.selection.demandOf(call.demand, model ?: call.demand.model)
        if (call.demand.promptTokens > 0) {
            unread =
                (
                    demand.promptTokens -
                        state.prefixCache.cachedTokens(
                            demand.model,
                            demand.promptParts,
                        )
                ).coerceAtLeast(0)
            reading = state.prefillSpeed.estimateMillis(demand.model, unread)
            state.prefixCache.recordPrefill(demand.model, demand.promptParts)
        }
        state.recordStart(reading)
        call.demand.session?.let { context.rollOuts.runBegins(call.service, it, listing.version) }
        context.peers.readingBegins(readingKey(), listing.id, reading)
        if (state.warmUp.isCold(now)) {
            state.warmUp.recordSent(
                now,
                call.configuration.services[call.service]?.coldRequestsPerSecond ?: 0.0,
                context.routing.routers,
            )
        }
        val terms =
            EndpointTerms(
                endpoint = listing.id,
                deadline = exchange.timeLeft(),
                organisation = call.organisation,
                model = model,
                resumeAfter = resumeAfter,
                urgency = if (call.demand.promptTokens > 0) urgency() else null,
            )
        val sent = WireCalls.toEndpoint(call.request.headers, terms)
        val longestIdle = if (call.route.repeatable) Duration.INFINITE else LONGEST_IDLE_UNREPEATABLE
        context.watchdog.watch(this)
        outbound =
            endpoint.pool.send(
                OutboundRequest(call.request.method, call.request.target, sent, call.request.body),
                this,
                longestIdle,
            )
        if (stage == Stage.SETTLED) outbound?.cancel()
    }

    private fun urgency(): Int = (URGENCY_OF_FIRST + call.priority).coerceIn(0, LAST_URGENCY)

    /** Ends the work at the endpoint; the exchange hears nothing more. */
    fun cancel() {
        if (stage == Stage.SETTLED) return
        settle()
        outbound?.cancel()
    }

    fun read(enabled: Boolean) {
        outbound?.read(enabled)
    }

    override fun head(
        status: Int,
        headers: HttpHeaders,
    ): HeadAction {
        val signs = WireCalls.signs(status) { headers.get(it) }
        if (signs.requestId != null && signs.requestId != call.id) {
            LogEvent.ENDPOINT_ANSWER_BAD.log(logger) {
                "request=${call.id} endpoint=${state.listing.id} answer of ${signs.requestId}"
            }
            return HeadAction.SKIP
        }
        signs.load?.let { state.recordLoad(it, context.clock.nanos()) }
        signs.coldLeft?.let { state.warmUp.extendTo(context.clock.nanos() + it.inWholeNanoseconds) }
        this.status = status
        this.headers = WireCalls.toCaller(headers)
        stage = stageOf(status, signs, headers)
        when (stage) {
            Stage.EVENTS -> beginEvents(signs)
            Stage.SETTLED -> lose("a success without its signature")
            else -> noteFirstAnswer()
        }
        return HeadAction.TAKE
    }

    private fun stageOf(
        status: Int,
        signs: AnswerSigns,
        headers: HttpHeaders,
    ): Stage =
        when {
            signs.notRun -> Stage.STATED_NOT_RUN
            status !in SUCCESS -> Stage.FAILURE
            !signs.sealed -> Stage.SETTLED
            headers.get("Content-Type")?.startsWith("text/event-stream") == true -> Stage.EVENTS
            else -> Stage.WHOLE
        }

    private fun noteFirstAnswer() {
        if (firstAnswerMillis != null) return
        val millis = (context.clock.nanos() - startedAt) / NANOS_PER_MILLI
        firstAnswerMillis = millis
        lastEventAt = context.clock.nanos()
    }

    private fun beginEvents(signs: AnswerSigns) {
        noteFirstAnswer()
        endReading()
        firstAnswerMillis?.let { state.prefillSpeed.record(model ?: call.demand.model.orEmpty(), unread, it) }
        val larger = exchange.largerModel(this, signs.confidence)
        if (larger != null) {
            noteSuccess()
            settle()
            outbound?.cancel()
            exchange.attemptEnded(this, AttemptOutcome.Escalated(larger))
        } else {
            exchange.eventsBegin(this, status, headers, signs.confidence)
        }
    }

    private fun endReading() {
        if (readingEnded) return
        readingEnded = true
        state.recordPrefillEnd(reading)
        context.peers.readingEnds(readingKey(), state.listing.id, reading)
    }

    private fun readingKey(): String = "${call.id}/$model"

    override fun content(bytes: ByteBuf) {
        val part = ByteArray(bytes.readableBytes())
        bytes.readBytes(part)
        lastEventAt = context.clock.nanos()
        when (stage) {
            Stage.EVENTS -> {
                splitter.take(part).forEach(exchange::event)
            }

            Stage.WHOLE, Stage.FAILURE -> {
                if (held.size() + part.size <=
                    MOST_HELD
                ) {
                    held.write(part)
                } else {
                    lose("too large to hold")
                }
            }

            else -> {
                Unit
            }
        }
    }

    override fun end() {
        when (stage) {
            Stage.EVENTS -> {
                if (splitter.partial) {
                    lose(
                        "ended in the middle of an event",
                    )
                } else {
                    succeed { exchange.eventsEnd(this) }
                }
            }

            Stage.WHOLE -> {
                succeed { exchange.whole(this, status, headers, held.toByteArray()) }
            }

            Stage.FAILURE -> {
                endFailure()
            }

            Stage.STATED_NOT_RUN -> {
                report(statedNotRun())
            }

            else -> {
                Unit
            }
        }
    }

    private fun endFailure() {
        context.rollOuts.answered(call.service, state.listing.version, failed = true)
        noteFailure()
        report(AttemptOutcome.Failed(ErrorResponse(status, headers, held.toByteArray())))
    }

    private fun succeed(deliver: () -> Unit) {
        noteSuccess()
        context.rollOuts.answered(call.service, state.listing.version, failed = false)
        settle()
        deliver()
    }

    override fun broken(
        sent: Boolean,
        reason: String,
    ) {
        if (stage == Stage.SETTLED) return
        if (sent) noteFailure() else noteUnreachable()
        report(
            when {
                !sent -> AttemptOutcome.NotExecuted("no connection: $reason", arrived = false)
                stage == Stage.STATED_NOT_RUN -> statedNotRun()
                else -> AttemptOutcome.Unknown(reason)
            },
        )
    }

    private fun statedNotRun() =
        AttemptOutcome.NotExecuted("the endpoint answered $status and has not run it", arrived = true)

    /** Gives the answer up as unusable. */
    private fun lose(reason: String) {
        noteFailure()
        stage = Stage.WAITING
        outbound?.cancel()
        report(AttemptOutcome.Unknown(reason))
    }

    private fun report(outcome: AttemptOutcome) {
        settle()
        exchange.attemptEnded(this, outcome)
    }

    private fun settle() {
        if (stage == Stage.SETTLED) return
        stage = Stage.SETTLED
        context.watchdog.release(this)
        endReading()
        state.recordEnd()
        call.demand.session?.let { context.rollOuts.runEnds(call.service, it, state.listing.version) }
    }

    private fun noteSuccess() {
        state.recordSuccess(context.clock.nanos())
    }

    private fun noteFailure() {
        if (state.recordFailure(context.clock.nanos(), context.random)) {
            LogEvent.ENDPOINT_EJECTED.log(logger) { "endpoint=${state.listing.id} service=${call.service}" }
        }
    }

    private fun noteUnreachable() {
        if (state.recordUnreachable(context.clock.nanos(), context.random)) {
            LogEvent.ENDPOINT_EJECTED.log(
                logger,
            ) { "endpoint=${state.listing.id} service=${call.service} unreachable" }
        }
    }

    /** Finds an endpoint that has fallen silent. */
    fun check() {
        val now = context.clock.nanos()
        val since = if (firstAnswerMillis == null) startedAt else lastEventAt
        val quiet = (now - since).nanoseconds
        val limit = if (firstAnswerMillis == null) firstAnswerPatience() else pausePatience(now)
        val endpointQuiet = (now - maxOf(endpoint.heardAt, startedAt)).nanoseconds
        if (quiet < limit) return
        if (!call.route.repeatable) return suspect()
        val alive = call.route.kind == RequestKind.STREAMING && endpointQuiet < ALIVE_WITHIN
        if (alive && quiet < LONGEST_PAUSE) return
        if (!exchange.mayRepeat()) return suspect()
        lose("silent for $quiet")
    }

    /** An endpoint that reads a long prompt pauses between the events of others; any other one is silent sooner. */
    private fun pausePatience(now: Long): Duration =
        if (state.prefillBacklogMillis(now) >
            READING_THAT_DELAYS_MILLIS
        ) {
            PAUSE_PATIENCE_WHILE_READING
        } else {
            PAUSE_PATIENCE
        }

    /** What can't be repeated is waited for; the endpoint's other requests go elsewhere. */
    private fun suspect() {
        if (suspected) return
        suspected = true
        noteFailure()
    }

    private fun firstAnswerPatience(): Duration =
        if (call.demand.promptTokens > 0) {
            FIRST_EVENT_PATIENCE + state.prefillBacklogMillis(context.clock.nanos()).milliseconds * READING_FACTOR
        } else {
            (call.route.latencyObjective * OBJECTIVES_UNTIL_REPEAT).coerceAtLeast(SHORTEST_PATIENCE)
        }

    override fun toString(): String =
        "endpoint=${state.listing.id} version=${state.listing.version} model=$model unread=$unread " +
            "readingMillis=${reading.toInt()} attemptMillis=${firstAnswerMillis?.toInt()}"

    private companion object {
        val SUCCESS = 200..299
        const val NANOS_PER_MILLI = 1e6

        /** Answers of plain services are some kilobytes long. */
        const val MOST_HELD = 4_194_304

        /** The endpoints' default is 5; the most urgent kind goes two classes ahead of it. */
        const val URGENCY_OF_FIRST = 3
        const val LAST_URGENCY = 9

        /** A connection that an endpoint may be closing must not carry what can't be repeated. */
        val LONGEST_IDLE_UNREPEATABLE = 1.seconds

        /** Steps of a busy engine take tens of milliseconds; its prompts are estimated with a factor of safety. */
        val FIRST_EVENT_PATIENCE = 700.milliseconds
        const val READING_FACTOR = 2.0

        /** Several steps of a busy engine; leaves time to go on elsewhere before callers count the pause as late. */
        val PAUSE_PATIENCE = 350.milliseconds
        val PAUSE_PATIENCE_WHILE_READING = 600.milliseconds
        const val READING_THAT_DELAYS_MILLIS = 150.0

        /** An engine that sends anything to anyone is not silent. */
        val ALIVE_WITHIN = 300.milliseconds
        val LONGEST_PAUSE = 4_000.milliseconds

        /** An answer after this is late in any case, and another endpoint likely faster. */
        const val OBJECTIVES_UNTIL_REPEAT = 1.5
        val SHORTEST_PATIENCE = 100.milliseconds
    }
}
