package dev.almondhaven.traffic

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits on the size and duration of what callers send.
 *
 * @property headerBytes maximum size of the request headers.
 * @property bodyBytes maximum size of the request body.
 * @property headerTimeout maximum time from the first byte of a request to the end of its headers.
 * @property idleTimeout how long an idle connection is kept open.
 */
public data class CallerLimits(
    public val headerBytes: Int,
    public val bodyBytes: Int,
    public val headerTimeout: Duration,
    public val idleTimeout: Duration,
) {
    public companion object {
        /** Limits until the first configuration is received; as large as common servers allow. */
        public val BEFORE_CONFIGURATION: CallerLimits = CallerLimits(16_384, 4_194_304, 3.seconds, 15.seconds)
    }
}
