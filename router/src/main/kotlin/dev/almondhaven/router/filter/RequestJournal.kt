package dev.almondhaven.router.filter

import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.Outcome
import dev.almondhaven.model.Refusal
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/** Token counts of an answer, as reported by the engine. */
public data class Usage(
    public val promptTokens: Long,
    public val completionTokens: Long,
)

/** One run of a request on one version. A request has one step, or two after a cascade escalation; each is billed. */
public data class RequestStep(
    public val version: ModelVersionId?,
    public val endpoint: EndpointId?,
    public val usage: Usage?,
)

/** A header that a filter adds to the answer; [name] is lower-case. */
public data class AnswerHeader(
    public val name: String,
    public val value: String,
)

/** The mutable state of a request that all its attempts share. Thread-safe. */
public class RequestJournal {
    private val dispatchCount = AtomicInteger()

    /** Whether an endpoint may have received any byte of any attempt. */
    public val dispatched: Boolean get() = dispatchCount.get() > 0

    /** The version that produced the answer that the caller receives. */
    @Volatile
    public var servedVersion: ModelVersionId? = null
        private set

    /** The endpoint that produced the answer that the caller receives. */
    @Volatile
    public var servedEndpoint: EndpointId? = null
        private set

    /** Token counts of the answer that the caller receives. */
    @Volatile
    public var usage: Usage? = null
        private set

    /** Whether it is certain that no earlier request with the same idempotency key was dispatched. */
    @Volatile
    public var firstUseConfirmed: Boolean = false
        private set

    /** Records that no earlier request with the same idempotency key was dispatched. */
    public fun recordFirstUse() {
        firstUseConfirmed = true
    }

    /** Records that an attempt is about to write to an endpoint. */
    public fun recordDispatch() {
        dispatchCount.incrementAndGet()
    }

    /** Reverts one [recordDispatch]: the connection failed before any byte of that attempt was written. */
    public fun recordUnsent() {
        val remaining = dispatchCount.decrementAndGet()
        check(remaining >= 0) { "more dispatches reverted than recorded: $remaining" }
    }

    /** Records the version and endpoint that answer. */
    public fun recordServed(
        version: ModelVersionId?,
        endpoint: EndpointId,
    ) {
        servedVersion = version
        servedEndpoint = endpoint
    }

    /** Records the organisation that sent the request. */
    public fun recordOrganisation(organisation: OrganisationId) {
        this.organisation = organisation
    }

    /** Records the error that the caller receives. */
    public fun recordRefusal(refusal: Refusal) {
        this.refusal = refusal
    }

    /** Adds a header to the answer. Has no effect after the answer's headers are written. */
    @Synchronized
    public fun addAnswerHeader(
        name: String,
        value: String,
    ) {
        answerHeaders = answerHeaders + AnswerHeader(name, value)
    }

    /** Records the token counts of the answer. */
    public fun recordUsage(usage: Usage) {
        this.usage = usage
    }

    /** The organisation that sent the request; null until the request is authenticated. */
    @Volatile
    public var organisation: OrganisationId? = null
        private set

    /** The error that the caller receives; null if there is none. */
    @Volatile
    public var refusal: Refusal? = null
        private set

    /** Headers that filters have added to the answer. */
    @Volatile
    public var answerHeaders: List<AnswerHeader> = emptyList()
        private set

    /** Steps of a cascade whose answers the caller does not receive. */
    @Volatile
    public var discardedSteps: List<RequestStep> = emptyList()
        private set

    /** Moves the step recorded last to [discardedSteps]: the caller does not receive its answer. */
    @Synchronized
    public fun discardStep() {
        discardedSteps = discardedSteps + RequestStep(servedVersion, servedEndpoint, usage)
        servedVersion = null
        servedEndpoint = null
        usage = null
    }

    /** Reverts the last [discardStep]: the caller receives that answer because the next step produced none. */
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
    private val pendingReleases = AtomicInteger(1)

    /** Whether the request has ended. */
    public val hasEnded: Boolean get() = ended.isDone

    /** Runs [action] once the answer is fully written or has failed, or the caller has disconnected. */
    public fun whenEnded(action: () -> Unit) {
        ended.thenRun { action() }
    }

    /** Records that the request has ended; later calls have no effect. */
    public fun recordEnd() {
        if (endRecorded.compareAndSet(false, true)) release()
    }

    /** Delays the end of a request that has not ended yet until the returned function is called. */
    public fun deferEnd(): () -> Unit {
        pendingReleases.incrementAndGet()
        val released = AtomicBoolean()
        return { if (released.compareAndSet(false, true)) release() }
    }

    private fun release() {
        if (pendingReleases.decrementAndGet() == 0) ended.complete(Unit)
    }

    /** The outcome to report with an error: `not_run` only if nothing was dispatched. */
    public fun errorOutcome(): Outcome = if (dispatched) Outcome.UNKNOWN else Outcome.NOT_RUN
}
