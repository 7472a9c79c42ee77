package dev.almondhaven.traffic

import kotlin.time.Duration

/**
 * A route: the requests with a given host and path prefix, and how they are served.
 *
 * @property host lower case, without a port.
 * @property pathPrefix begins and ends with a slash.
 * @property timeout maximum time until the response is complete.
 * @property latencyObjective target for the time to the response, or to the first event of a stream.
 * @property eventGapObjective target for the time between two events of a stream; null without one.
 * @property priority 0 is the most urgent.
 * @property models names of the models that may be used, smallest first; empty if the caller names the model.
 * @property maxAttempts maximum number of endpoints that may run one request.
 * @property open whether callers need no API key.
 * @property resumable whether another endpoint may continue a stream after its last event.
 */
public data class TrafficRoute(
    public val name: String,
    public val host: String,
    public val pathPrefix: String,
    public val kind: RequestKind,
    public val services: List<WeightedService>,
    public val timeout: Duration,
    public val latencyObjective: Duration,
    public val eventGapObjective: Duration?,
    public val priority: Int,
    public val models: List<String>,
    public val maxAttempts: Int,
    public val open: Boolean,
    public val resumable: Boolean,
) {
    /** Whether a request may run again after a run that failed or whose outcome is unknown. */
    public val isRetryable: Boolean
        get() = kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAMING && resumable)
}
