package dev.almondhaven.traffic

import kotlin.time.Duration

/**
 * What an endpoint reports in its response headers about the response and about itself.
 *
 * @property requestId id of the request that the response belongs to; null if not reported.
 * @property signature the endpoint's signature of the response; null if it is not signed.
 * @property notRun whether the endpoint states that it did not run the request.
 * @property load the endpoint's request counts; null if not reported.
 * @property requestsPerSecond requests per second that the endpoint takes from all routers together; null if it states no
 * limit.
 * @property coldLeft remaining warm-up time; null if not reported.
 * @property confidence the model's confidence in its answer, from 0 to 100; null if not reported.
 */
public data class ResponseMetadata(
    public val requestId: String?,
    public val signature: String?,
    public val notRun: Boolean,
    public val load: ReportedLoad?,
    public val requestsPerSecond: Double?,
    public val coldLeft: Duration?,
    public val confidence: Int?,
) {
    public val isSigned: Boolean get() = signature != null
}
