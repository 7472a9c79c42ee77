package dev.almondhaven.router.filter

import com.google.common.hash.Hashing
import dev.almondhaven.decision.endpoint.EndpointChoice
import dev.almondhaven.decision.endpoint.EndpointChooser
import dev.almondhaven.decision.endpoint.EndpointPool
import dev.almondhaven.decision.endpoint.EndpointRequest
import dev.almondhaven.decision.endpoint.EndpointState
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.endpoint.EndpointDirectory
import dev.almondhaven.router.endpoint.PoolKey
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
    private val clock: NanoClock,
    private val chooser: EndpointChooser = EndpointChooser(),
) : RequestFilter {
    override fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val key = poolKey(exchange) ?: return refuse(exchange, ResultCode.NO_ENDPOINT, "no version is chosen")
        val pool = directory.poolOrNull(key)
        if (pool != null && !pool.isEmpty) return choose(exchange, pool, next)
        return directory.refreshed().thenCompose {
            choose(exchange, directory.poolOrNull(key) ?: EndpointPool.EMPTY, next)
        }
    }

    private fun poolKey(exchange: Exchange): PoolKey? =
        when (val call = exchange.call) {
            is Call.Service -> PoolKey.Service(call.service)
            else -> exchange.version?.let { PoolKey.Version(it.id) }
        }

    private fun choose(
        exchange: Exchange,
        pool: EndpointPool,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val request = EndpointRequest(affinityKey(exchange), exchange.avoided)
        return when (val choice = chooser.choose(pool, request, clock.nanos(), random())) {
            is EndpointChoice.Chosen -> send(exchange, choice.state, next)
            EndpointChoice.AllBusy -> refuse(exchange, ResultCode.OVERLOADED, "every endpoint is at its limit")
            EndpointChoice.NoneLeft -> refuse(exchange, ResultCode.NO_ENDPOINT, "no endpoint in service")
        }
    }

    private fun send(
        exchange: Exchange,
        state: EndpointState,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val startedAt = clock.nanos()
        exchange.attempt.recordEndpoint(state.endpoint)
        exchange.attempt.whenEnded { result -> ended(exchange, state, result, startedAt) }
        return next.handle(exchange.with(state.endpoint))
    }

    private fun ended(
        exchange: Exchange,
        state: EndpointState,
        result: AttemptResult,
        startedAt: Long,
    ) {
        state.release()
        when (result) {
            AttemptResult.SUCCEEDED -> state.health.recordSuccess()
            AttemptResult.FAILED -> recordFailure(state)
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
    ): CompletableFuture<Answer> =
        Answer.Refused(Refusal(code, detail, exchange.journal.errorOutcome(), RETRY_AFTER)).completed()

    private fun random(): UniformRandomProvider = ThreadLocalRandomSource.current(RandomSource.SPLIT_MIX_64)

    private companion object {
        val RETRY_AFTER: Duration = 1.seconds
        const val SESSION = "x-session-id"

        /** Characters of the prompt that requests with the same cached prefix share. */
        const val PREFIX_CHARACTERS = 512
    }
}
