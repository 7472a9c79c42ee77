package dev.almondhaven.gateway.call

import dev.almondhaven.platform.WireCalls
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** An answer of the router's own; it bears no endpoint's signature. */
internal class RouterResponse private constructor(
    val status: Int,
    val requestId: String?,
    val reason: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
) {
    companion object {
        private const val UNAVAILABLE = 503

        /** The request has not run and never will; it may come again after [retryAfter]. */
        fun notExecuted(
            requestId: String?,
            retryAfter: Duration,
            reason: String,
        ): RouterResponse {
            val seconds = String.format(Locale.ROOT, "%.3f", retryAfter.toDouble(DurationUnit.SECONDS))
            return of(UNAVAILABLE, requestId, reason, listOf("Retry-After" to seconds))
        }

        /** An answer with [status], which promises nothing about whether the request has run. */
        fun of(
            status: Int,
            requestId: String?,
            reason: String,
            more: List<Pair<String, String>> = emptyList(),
        ): RouterResponse {
            val headers = WireCalls.ownAnswer(requestId) + ("Content-Type" to "text/plain; charset=utf-8") + more
            return RouterResponse(status, requestId, reason, headers, "$reason\n".toByteArray())
        }
    }
}
