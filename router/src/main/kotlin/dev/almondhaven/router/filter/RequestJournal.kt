package dev.almondhaven.router.filter

import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.Outcome
import dev.almondhaven.model.Refusal
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/** Tokens that an answer cost. */
public data class Usage(
    public val promptTokens: Long,
    public val completionTokens: Long,
)

/** One run of a request on one version: a request has one, or two if a cascade escalated. Each is billed. */
public data class RequestStep(
    public val version: ModelVersionId?,
    public val endpoint: EndpointId?,
    public val usage: Usage?,
)

/** A header that a filter adds to the answer; [name] is in lower case. */
public data class AnswerHeader(
    public val name: String,
    public val value: String,
)

/** What has happened to a request so far, over all its attempts. Safe to use from any thread. */
public class RequestJournal {
    private val possiblyRun = AtomicInteger()

    /** Whether a byte of any attempt of the request may have reached an endpoint. */
    public val dispatched: Boolean get() = possiblyRun.get() > 0

    /** The version that gave the answer the caller gets. */
    @Volatile
    public var servedVersion: ModelVersionId? = null
        private set

    /** The endpoint that gave the answer the caller gets. */
    @Volatile
    public var servedEndpoint: EndpointId? = null
        private set

    /** Tokens of the answer the caller gets. */
    @Volatile
    public var usage: Usage? = null
        private set

    /** Whether it is settled that no earlier request under the same idempotency key was dispatched. */
    @Volatile
    public var firstUseConfirmed: Boolean = false
        private set

    /** Notes that no earlier request under the same idempotency key was dispatched. */
    public fun recordFirstUse() {
        firstUseConfirmed = true
    }

    /** Notes that bytes of an attempt are about to be sent to an endpoint. */
    public fun recordDispatch() {
        possiblyRun.incrementAndGet()
    }

    /** Takes one [recordDispatch] back: the connection failed before any byte of that attempt was written. */
    public fun recordUnsent() {
        val left = possiblyRun.decrementAndGet()
        check(left >= 0) { "more attempts taken back than dispatched: $left" }
    }

    /** Notes who gives the answer. */
    public fun recordServed(
        version: ModelVersionId?,
        endpoint: EndpointId,
    ) {
        servedVersion = version
        servedEndpoint = endpoint
    }

    /** Notes whose request it is. */
    public fun recordOrganisation(organisation: OrganisationId) {
        this.organisation = organisation
    }

    /** Notes the error that the caller gets. */
    public fun recordRefusal(refusal: Refusal) {
        this.refusal = refusal
    }

    /** Adds a header to the answer; has an effect until the answer's headers are written. */
    @Synchronized
    public fun addAnswerHeader(
        name: String,
        value: String,
    ) {
        answerHeaders = answerHeaders + AnswerHeader(name, value)
    }

    /** Notes the tokens of the answer. */
    public fun recordUsage(usage: Usage) {
        this.usage = usage
    }

    /** The organisation that the request belongs to, once it is identified. */
    @Volatile
    public var organisation: OrganisationId? = null
        private set

    /** The error that the caller gets, if any. */
    @Volatile
    public var refusal: Refusal? = null
        private set

    /** Headers that filters add to the answer. */
    @Volatile
    public var answerHeaders: List<AnswerHeader> = emptyList()
        private set

    /** Earlier steps of a cascade whose answers the caller doesn't get. */
    @Volatile
    public var discardedSteps: List<RequestStep> = emptyList()
        private set

    /** Notes that the caller won't get the answer recorded last. */
    @Synchronized
    public fun discardStep() {
        discardedSteps = discardedSteps + RequestStep(servedVersion, servedEndpoint, usage)
        servedVersion = null
        servedEndpoint = null
        usage = null
    }

    /** Notes that the caller gets the answer discarded last after all, since the step after it gave none. */
    @Synchronized
    public fun restoreStep() {
        val restored = discardedSteps.last()
        discardedSteps = discardedSteps.dropLast(1)
        servedVersion = restored.version
        servedEndpoint = restored.endpoint
        usage = restored.usage
    }

    private val ended = CompletableFuture<Unit>()
    private val endRecorded = AtomicBoolean()
    private val holds = AtomicInteger(1)

    /** Whether the request has ended. */
    public val hasEnded: Boolean get() = ended.isDone

    /** Runs [action] once the request has ended: its answer is written whole, or failed, or the caller has left. */
    public fun whenEnded(action: () -> Unit) {
        ended.thenRun { action() }
    }

    /** Notes that the request has ended; only the first call has an effect. */
    public fun recordEnd() {
        if (endRecorded.compareAndSet(false, true)) release()
    }

    /** Puts the end of the request off until the returned function is called, as long as the request hasn't ended. */
    public fun deferEnd(): () -> Unit {
        holds.incrementAndGet()
        val released = AtomicBoolean()
        return { if (released.compareAndSet(false, true)) release() }
    }

    private fun release() {
        if (holds.decrementAndGet() == 0) ended.complete(Unit)
    }

    /** The outcome of an error: `not_run` only as long as nothing was dispatched. */
    public fun errorOutcome(): Outcome = if (dispatched) Outcome.UNKNOWN else Outcome.NOT_RUN
}
