package dev.almondhaven.traffic

import kotlin.time.Duration

/**
 * What an endpoint says of its answer and of itself in the head of an answer.
 *
 * @property requestId of the request that the answer belongs to; null if not said.
 * @property isSigned whether the endpoint signed the answer.
 * @property notRun whether the endpoint states that it has not run the request.
 * @property load null if not said.
 * @property coldLeft null if not said.
 * @property confidence the model's own opinion of its answer, 0 to 100.
 */
public data class ResponseMetadata(
    public val requestId: String?,
    public val isSigned: Boolean,
    public val notRun: Boolean,
    public val load: ReportedLoad?,
    public val coldLeft: Duration?,
    public val confidence: Int?,
)
