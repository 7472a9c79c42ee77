package dev.almondhaven.traffic

import kotlin.time.Duration

/**
 * What a caller's request states in its headers.
 *
 * @property requestId unique for each attempt by the caller.
 * @property deadline how long the caller waits, counted from when it sent the request; null if not stated.
 * @property resumeAfter id of the last event that the caller received, if it resumes a stream.
 * @property model the model that the caller names; [ANY_MODEL] leaves the choice to the router.
 * @property outputTokens maximum number of tokens to generate.
 * @property outputEstimate the caller's estimate of the number of generated tokens; often inaccurate.
 * @property promptParts segments of the prompt in order; the last one is specific to the request or its session.
 * @property session id of the session; requests of one session stay on one version.
 */
public data class RequestMetadata(
    public val requestId: String,
    public val deadline: Duration?,
    public val key: CallerKey?,
    public val resumeAfter: Long?,
    public val model: String?,
    public val promptTokens: Int,
    public val outputTokens: Int,
    public val outputEstimate: Int?,
    public val promptParts: List<PromptPart>,
    public val session: String?,
) {
    /** Ids of the prompt's parts that other requests may share: all but the last. */
    public val sharedParts: List<String> = promptParts.dropLast(1).map { it.id }

    public companion object {
        /** Model name with which a caller leaves the choice to the router. */
        public const val ANY_MODEL: String = "*"
    }
}
