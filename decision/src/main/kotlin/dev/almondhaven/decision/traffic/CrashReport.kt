package dev.almondhaven.decision.traffic

import dev.almondhaven.model.EndpointId

/**
 * A request that an endpoint had not begun to answer when it crashed.
 *
 * @property endpoint the endpoint that crashed.
 * @property startedAtMillis start of the endpoint's process, which tells its crashes apart.
 * @property request id of the request.
 * @property parts ids of the prompt's parts that other requests may share.
 * @property responseStarted whether the head of the response had arrived; the crash came before the first event then.
 */
public data class CrashReport(
    public val endpoint: EndpointId,
    public val startedAtMillis: Long,
    public val request: String,
    public val parts: Set<String>,
    public val responseStarted: Boolean,
)
