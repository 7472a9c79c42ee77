package dev.almondhaven.traffic

import kotlin.time.Duration

/**
 * What a caller asks for beside method, path and body.
 *
 * @property requestId unique for each attempt of the caller.
 * @property deadline how long the caller waits, from when it sent the request; null if it did not say.
 * @property resumeAfter id of the last event the caller has, where it resumes a stream.
 * @property model what the caller named; [ANY_MODEL] leaves it to the system.
 * @property outputTokens most tokens to generate.
 * @property outputEstimate the caller's guess at the tokens to generate; often far off.
 * @property promptParts in order; the last one belongs to the request or its session.
 * @property session requests of one session keep their version.
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
    public companion object {
        /** The model's name by which a caller leaves the choice to the system. */
        public const val ANY_MODEL: String = "*"
    }
}
