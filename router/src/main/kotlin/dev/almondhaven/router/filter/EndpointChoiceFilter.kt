package dev.almondhaven.router.filter

import com.google.common.hash.Hashing
import dev.almondhaven.decision.endpoint.EndpointChoice
import dev.almondhaven.decision.endpoint.EndpointChooser
import dev.almondhaven.decision.endpoint.EndpointPool
import dev.almondhaven.decision.endpoint.EndpointRequest
import dev.almondhaven.decision.endpoint.EndpointState
import dev.almondhaven.decision.limit.QueuedRequest
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.endpoint.AdmissionQueue
import dev.almondhaven.router.endpoint.EndpointDirectory
import dev.almondhaven.router.endpoint.PoolKey
import dev.almondhaven.router.endpoint.QueueResult
import dev.almondhaven.router.endpoint.WaitingRequest
import io.github.oshai.kotlinlogging.KotlinLogging
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import org.apache.commons.rng.simple.ThreadLocalRandomSource
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Chooses the endpoint of an attempt and holds one of its slots until the attempt ends. A request waits in the
 * admission queue of its pool while every endpoint there is at its limit.
 */
internal class EndpointChoiceFilter(
    private val directory: EndpointDirectory,
    private val admissionQueue: AdmissionQueue,
    private val clock: NanoClock,
    private val chooser: EndpointChooser = EndpointChooser(),
) : RequestFilter {
    private val averageRunTime = MovingAverageNanos()

    override fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val key = poolKey(exchange) ?: return refuse(exchange, ResultCode.NO_ENDPOINT, "no model version was chosen")
        if (directory.poolOrNull(key)?.isEmpty == false) return choose(exchange, key, next)
        return directory.refreshPools().thenComposeAsync({ choose(exchange, key, next) }, exchange.eventLoop)
    }

    private fun poolKey(exchange: Exchange): PoolKey? =
        when (val call = exchange.call) {
            is Call.Service -> PoolKey.Service(call.service)
            else -> exchange.version?.let { PoolKey.Version(it.id) }
        }

    private fun choose(
        exchange: Exchange,
        key: PoolKey,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val request = EndpointRequest(affinityKey(exchange), exchange.triedEndpoints)
        val firstAttempt = exchange.triedEndpoints.isEmpty()
        // New requests join a non-empty queue; otherwise they would take slots that free up ahead of waiting requests.
        if (firstAttempt && admissionQueue.waiting(key) > 0) return enqueue(exchange, key, request, next)
        val choice = choiceFor(key, request)
        if (choice is EndpointChoice.AllBusy) return enqueue(exchange, key, request, next)
        return handleChoice(exchange, key, choice, next)
    }

    private fun choiceFor(
        key: PoolKey,
        request: EndpointRequest,
    ): EndpointChoice =
        chooser.choose(directory.poolOrNull(key) ?: EndpointPool.EMPTY, request, clock.nanos(), random())

    private fun enqueue(
        exchange: Exchange,
        key: PoolKey,
        request: EndpointRequest,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val waitingRequest = WaitingRequest({ choiceFor(key, request) }, { exchange.journal.hasEnded })
        return admissionQueue.enqueue(key, queuedRequest(exchange, waitingRequest)).thenComposeAsync({ result ->
            when (result) {
                is QueueResult.Admitted -> {
                    handleChoice(exchange, key, result.choice, next)
                }

                is QueueResult.Refused -> {
                    refuse(
                        exchange,
                        ResultCode.OVERLOADED,
                        "no endpoint had a free slot in time",
                        result.retryAfter,
                    )
                }
            }
        }, exchange.eventLoop)
    }

    private fun queuedRequest(
        exchange: Exchange,
        waitingRequest: WaitingRequest,
    ): QueuedRequest<WaitingRequest> =
        QueuedRequest(
            waitingRequest,
            exchange.organisation.id,
            exchange.organisation.share,
            cost = 1.0 + exchange.body.length() / BODY_BYTES_PER_COST_UNIT,
            latestStart = exchange.deadline - averageRunTime.nanos,
            RequestPriority.of(exchange),
        )

    private fun handleChoice(
        exchange: Exchange,
        key: PoolKey,
        choice: EndpointChoice,
        next: RequestHandler,
    ): CompletableFuture<Answer> =
        when (choice) {
            is EndpointChoice.Chosen -> send(exchange, key, choice.state, next)
            EndpointChoice.AllBusy -> refuse(exchange, ResultCode.OVERLOADED, "every endpoint is at its request limit")
            EndpointChoice.NoneLeft -> refuse(exchange, ResultCode.NO_ENDPOINT, "no endpoint is in service")
        }

    private fun send(
        exchange: Exchange,
        key: PoolKey,
        state: EndpointState,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val startedAt = clock.nanos()
        exchange.attempt.recordEndpoint(state.endpoint)
        exchange.attempt.whenEnded { result -> attemptEnded(exchange, key, state, result, startedAt) }
        return next.handle(exchange.with(state.endpoint))
    }

    private fun attemptEnded(
        exchange: Exchange,
        key: PoolKey,
        state: EndpointState,
        result: AttemptResult,
        startedAt: Long,
    ) {
        state.release()
        admissionQueue.slotFreed(key)
        if (result == AttemptResult.SUCCEEDED) averageRunTime.record(clock.nanos() - startedAt)
        when (result) {
            AttemptResult.SUCCEEDED -> state.health.recordSuccess()
            AttemptResult.FAILED, AttemptResult.CONNECTION_LOST -> recordFailure(state)
            AttemptResult.OVERLOADED, AttemptResult.ABANDONED -> Unit
        }
        val firstTokenAt = exchange.attempt.firstTokenAt
        val timeToFirstToken = if (firstTokenAt == 0L) null else (firstTokenAt - startedAt).nanoseconds
        directory.recordAttempt(state.endpoint.id, result, timeToFirstToken)
    }

    private fun recordFailure(state: EndpointState) {
        if (state.health.recordFailure(clock.nanos(), random())) {
            LogEvent.ENDPOINT_EJECTED.log(logger) { "endpoint=${state.endpoint.id}" }
        }
    }

    /** Hashes the session id, or else the start of the prompt, so that equal prefixes reach the same KV cache. */
    private fun affinityKey(exchange: Exchange): Long? {
        val call = exchange.call as? Call.Model ?: return null
        val session = exchange.headers.get(SESSION_HEADER)
        if (session != null) return hash(exchange.organisation.id.value + session)
        val prompt = call.body["messages"] ?: call.body["prompt"] ?: return null
        return hash(exchange.organisation.id.value + prompt.toString().take(PROMPT_PREFIX_CHARACTERS))
    }

    private fun hash(text: String): Long = Hashing.farmHashFingerprint64().hashUnencodedChars(text).asLong()

    private fun refuse(
        exchange: Exchange,
        code: ResultCode,
        detail: String,
        retryAfter: Duration = RETRY_AFTER,
    ): CompletableFuture<Answer> =
        Answer.Refused(Refusal(code, detail, exchange.journal.errorOutcome(), retryAfter)).completed()

    private fun random(): UniformRandomProvider = ThreadLocalRandomSource.current(RandomSource.SPLIT_MIX_64)

    private companion object {
        val RETRY_AFTER: Duration = 1.seconds

        /** Bytes of request body that add as much queue cost as a request itself. */
        const val BODY_BYTES_PER_COST_UNIT = 4_000.0
        const val SESSION_HEADER = "x-session-id"

        /** Prompts that agree in this many leading characters are taken to share a cached prefix. */
        const val PROMPT_PREFIX_CHARACTERS = 512
    }
}
