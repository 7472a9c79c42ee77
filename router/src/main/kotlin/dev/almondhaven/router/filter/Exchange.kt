package dev.almondhaven.router.filter

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.Organisation
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.RequestId
import io.netty.channel.EventLoop

/**
 * A request on its way through the filter chain. It is immutable: each filter passes on a copy with what it found out,
 * so that a retry, a hedge or an escalation starts from the state before it. What belongs to the request as a whole is
 * in [journal].
 *
 * @property arrivedAt monotonic nanoseconds.
 * @property deadline monotonic nanoseconds after which the answer is worthless.
 * @property attempt the try that this copy belongs to.
 * @property triedEndpoints endpoints that earlier attempts have tried.
 * @property resumeAfter sequence number of the last frame that the caller already has.
 * @property pinnedVersion the only version that the request's session may run on; null when the choice is free.
 */
public data class Exchange(
    public val requestId: RequestId,
    public val headers: RequestHeaders,
    public val body: HttpData,
    public val arrivedAt: Long,
    public val deadline: Long,
    public val eventLoop: EventLoop,
    public val journal: RequestJournal = RequestJournal(),
    public val pinnedVersion: ModelVersionId? = null,
    private val identifiedOrganisation: Organisation? = null,
    private val parsedCall: Call? = null,
    private val chosenVersion: ModelVersion? = null,
    private val chosenEndpoint: Endpoint? = null,
    public val attempt: Attempt = Attempt(),
    public val triedEndpoints: Set<EndpointId> = emptySet(),
    public val resumeAfter: Long = 0,
    private val gate: DispatchGate? = null,
) {
    public val method: HttpMethod get() = headers.method()

    /** The path with its query. */
    public val path: String get() = headers.path()

    /** The organisation; set by the identifying filter. */
    public val organisation: Organisation get() = checkNotNull(identifiedOrganisation) { "not identified: $requestId" }

    /** The call; set by the parsing filter. */
    public val call: Call get() = checkNotNull(parsedCall) { "not parsed: $requestId" }

    /** The model version chosen, or null for a plain service. */
    public val version: ModelVersion? get() = chosenVersion

    /** The endpoint; set by the endpoint choice. */
    public val endpoint: Endpoint get() = checkNotNull(chosenEndpoint) { "no endpoint chosen: $requestId" }

    /** Decides about the dispatch of a non-idempotent call; null for calls that may be repeated. */
    public val dispatchGate: DispatchGate? get() = gate

    public fun with(organisation: Organisation): Exchange = copy(identifiedOrganisation = organisation)

    public fun with(call: Call): Exchange = copy(parsedCall = call)

    public fun with(version: ModelVersion): Exchange = copy(chosenVersion = version)

    public fun pinnedTo(version: ModelVersionId): Exchange = copy(pinnedVersion = version)

    public fun with(endpoint: Endpoint): Exchange = copy(chosenEndpoint = endpoint)

    /** A copy for a new attempt, which is not to use what earlier attempts used. */
    internal fun forRetry(
        triedEndpoints: Set<EndpointId>,
        resumeAfter: Long,
    ): Exchange = copy(attempt = Attempt(), triedEndpoints = triedEndpoints, resumeAfter = resumeAfter)

    public fun with(dispatchGate: DispatchGate): Exchange = copy(gate = dispatchGate)
}
