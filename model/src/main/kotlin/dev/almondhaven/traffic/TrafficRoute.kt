package dev.almondhaven.traffic

import kotlin.time.Duration

/**
 * Requests that are treated alike, chosen by host and path.
 *
 * @property host lower case, without a port.
 * @property pathPrefix begins and ends with a slash.
 * @property timeout longest time a caller is kept waiting for the end of its answer.
 * @property latencyObjective time to the answer (of a stream: its first event) that is still on time.
 * @property eventGapObjective longest pause between two events of a stream that is still on time.
 * @property priority 0 is the most urgent.
 * @property models names of models that may answer, smallest first; empty where the caller names the model.
 * @property maxAttempts most endpoints that may run one request.
 * @property open whether callers need no key.
 * @property resumable whether a stream may go on at another endpoint after its last event.
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
