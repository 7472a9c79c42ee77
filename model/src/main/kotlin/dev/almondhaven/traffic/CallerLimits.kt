package dev.almondhaven.traffic

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What a caller may send, and how long it may take.
 *
 * @property headerBytes largest request head.
 * @property bodyBytes largest request body.
 * @property headerTimeout longest time from the first byte of a request to the end of its head.
 * @property idleTimeout how long a connection without a request is kept.
 */
public data class CallerLimits(
    public val headerBytes: Int,
    public val bodyBytes: Int,
    public val headerTimeout: Duration,
    public val idleTimeout: Duration,
) {
    public companion object {
        /** In force until the first configuration is known; as large as common servers allow. */
        public val BEFORE_CONFIGURATION: CallerLimits = CallerLimits(16_384, 4_194_304, 3.seconds, 15.seconds)
    }
}
