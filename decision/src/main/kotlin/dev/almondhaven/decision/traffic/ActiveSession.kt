package dev.almondhaven.decision.traffic

import kotlin.time.Duration

/**
 * A session that hasn't reached its idle timeout: its next request continues it instead of starting a new session.
 *
 * @property version the service version that ran its latest request.
 * @property isRunning whether a request of the session is running at this router.
 * @property idle time since the latest request ended; zero if one is running.
 */
public data class ActiveSession(
    public val id: String,
    public val version: String,
    public val isRunning: Boolean,
    public val idle: Duration = Duration.ZERO,
)
