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
 * A request in the filter chain. It is immutable: each filter passes on a copy extended by its own results, so that a
 * retry, a hedge or an escalation starts from the state before it. State shared by all attempts of the request is in
 * [journal].
 *
 * @property arrivedAt arrival of the request, in monotonic nanoseconds.
 * @property deadline monotonic nanoseconds after which the caller no longer accepts an answer.
 * @property attempt the attempt that this copy belongs to.
 * @property triedEndpoints endpoints that earlier attempts have used.
 * @property resumeAfter sequence number of the last frame that the caller has received; 0 for none.
 * @property pinnedVersion the only version that the request's session may use; null when the request has no pin.
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
    private val authenticatedOrganisation: Organisation? = null,
    private val parsedCall: Call? = null,
    private val chosenVersion: ModelVersion? = null,
    private val chosenEndpoint: Endpoint? = null,
    public val attempt: Attempt = Attempt(),
    public val triedEndpoints: Set<EndpointId> = emptySet(),
    public val resumeAfter: Long = 0,
    private val gate: DispatchGate? = null,
) {
    public val method: HttpMethod get() = headers.method()

    /** The path including the query. */
    public val path: String get() = headers.path()

    /** The organisation that sent the request; set by [AuthenticationFilter]. */
    public val organisation: Organisation get() =
        checkNotNull(authenticatedOrganisation) {
            "request $requestId is not authenticated yet"
        }

    /** The parsed request; set by [ParseFilter]. */
    public val call: Call get() = checkNotNull(parsedCall) { "request $requestId is not parsed yet" }

    /** The chosen model version; null for a plain service, and before the choice. */
    public val version: ModelVersion? get() = chosenVersion

    /** The chosen endpoint; set by [EndpointChoiceFilter]. */
    public val endpoint: Endpoint get() =
        checkNotNull(chosenEndpoint) {
            "no endpoint is chosen yet for request $requestId"
        }

    /** Limits a non-idempotent call to one dispatch; null for idempotent calls. */
    public val dispatchGate: DispatchGate? get() = gate

    public fun with(organisation: Organisation): Exchange = copy(authenticatedOrganisation = organisation)

    public fun with(call: Call): Exchange = copy(parsedCall = call)

    public fun with(version: ModelVersion): Exchange = copy(chosenVersion = version)

    public fun pinnedTo(version: ModelVersionId): Exchange = copy(pinnedVersion = version)

    public fun with(endpoint: Endpoint): Exchange = copy(chosenEndpoint = endpoint)

    /** A copy for a new attempt, which avoids [triedEndpoints] and resumes after frame [resumeAfter]. */
    internal fun forRetry(
        triedEndpoints: Set<EndpointId>,
        resumeAfter: Long,
    ): Exchange = copy(attempt = Attempt(), triedEndpoints = triedEndpoints, resumeAfter = resumeAfter)

    public fun with(dispatchGate: DispatchGate): Exchange = copy(gate = dispatchGate)
}
