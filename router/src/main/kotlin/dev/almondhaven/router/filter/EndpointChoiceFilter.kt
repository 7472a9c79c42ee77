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

/** Chooses the endpoint for an attempt, takes a slot there, and gives it back when the attempt has ended. */
internal class EndpointChoiceFilter(
    private val directory: EndpointDirectory,
    private val admissionQueue: AdmissionQueue,
    private val clock: NanoClock,
    private val chooser: EndpointChooser = EndpointChooser(),
) : RequestFilter {
    private val usualRun = MovingAverageNanos()

    override fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val key = poolKey(exchange) ?: return refuse(exchange, ResultCode.NO_ENDPOINT, "no version is chosen")
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
        val newcomer = exchange.triedEndpoints.isEmpty()
        // Who comes while others wait joins the queue, or a free slot would go to whoever asks first.
        if (newcomer && admissionQueue.waiting(key) > 0) return await(exchange, key, request, next)
        val choice = choiceFor(key, request)
        if (choice is EndpointChoice.AllBusy) return await(exchange, key, request, next)
        return follow(exchange, key, choice, next)
    }

    private fun choiceFor(
        key: PoolKey,
        request: EndpointRequest,
    ): EndpointChoice =
        chooser.choose(directory.poolOrNull(key) ?: EndpointPool.EMPTY, request, clock.nanos(), random())

    private fun await(
        exchange: Exchange,
        key: PoolKey,
        request: EndpointRequest,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val waiter = WaitingRequest({ choiceFor(key, request) }, { exchange.journal.hasEnded })
        return admissionQueue.enter(key, queued(exchange, waiter)).thenComposeAsync({ turn ->
            when (turn) {
                is QueueResult.Admitted -> {
                    follow(exchange, key, turn.choice, next)
                }

                is QueueResult.Refused -> {
                    refuse(
                        exchange,
                        ResultCode.OVERLOADED,
                        "no endpoint has room in time",
                        turn.retryAfter,
                    )
                }
            }
        }, exchange.eventLoop)
    }

    private fun queued(
        exchange: Exchange,
        waiter: WaitingRequest,
    ): QueuedRequest<WaitingRequest> =
        QueuedRequest(
            waiter,
            exchange.organisation.id,
            exchange.organisation.share,
            cost = 1.0 + exchange.body.length() / CHARACTERS_PER_COST,
            latestStart = exchange.deadline - usualRun.nanos,
            RequestPriority.of(exchange),
        )

    private fun follow(
        exchange: Exchange,
        key: PoolKey,
        choice: EndpointChoice,
        next: RequestHandler,
    ): CompletableFuture<Answer> =
        when (choice) {
            is EndpointChoice.Chosen -> send(exchange, key, choice.state, next)
            EndpointChoice.AllBusy -> refuse(exchange, ResultCode.OVERLOADED, "every endpoint is at its limit")
            EndpointChoice.NoneLeft -> refuse(exchange, ResultCode.NO_ENDPOINT, "no endpoint in service")
        }

    private fun send(
        exchange: Exchange,
        key: PoolKey,
        state: EndpointState,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val startedAt = clock.nanos()
        exchange.attempt.recordEndpoint(state.endpoint)
        exchange.attempt.whenEnded { result -> ended(exchange, key, state, result, startedAt) }
        return next.handle(exchange.with(state.endpoint))
    }

    private fun ended(
        exchange: Exchange,
        key: PoolKey,
        state: EndpointState,
        result: AttemptResult,
        startedAt: Long,
    ) {
        state.release()
        admissionQueue.slotFree(key)
        if (result == AttemptResult.SUCCEEDED) usualRun.record(clock.nanos() - startedAt)
        when (result) {
            AttemptResult.SUCCEEDED -> state.health.recordSuccess()
            AttemptResult.FAILED, AttemptResult.CONNECTION_LOST -> recordFailure(state)
            AttemptResult.OVERLOADED, AttemptResult.ABANDONED -> Unit
        }
        val firstToken = exchange.attempt.firstTokenAt
        val latency = if (firstToken == 0L) null else (firstToken - startedAt).nanoseconds
        directory.recordAttempt(state.endpoint.id, result, latency)
    }

    private fun recordFailure(state: EndpointState) {
        if (state.health.recordFailure(clock.nanos(), random())) {
            LogEvent.ENDPOINT_EJECTED.log(logger) { "endpoint=${state.endpoint.id}" }
        }
    }

    private fun affinityKey(exchange: Exchange): Long? {
        val call = exchange.call as? Call.Model ?: return null
        val session = exchange.headers.get(SESSION)
        if (session != null) return hash(exchange.organisation.id.value + session)
        val prompt = call.body["messages"] ?: call.body["prompt"] ?: return null
        return hash(exchange.organisation.id.value + prompt.toString().take(PREFIX_CHARACTERS))
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
        const val CHARACTERS_PER_COST = 4_000.0
        const val SESSION = "x-session-id"

        /** Characters of the prompt that requests with the same cached prefix share. */
        const val PREFIX_CHARACTERS = 512
    }
}
