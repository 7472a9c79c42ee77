package dev.almondhaven.decision.traffic

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The version of one service that each session last ran on, at this router or at other routers that announced it. A
 * session is active from its first request until [idleTimeout] after the end of its latest one; a later request
 * starts a new session. The version recorded is the one that actually ran the request rather than the one assigned to
 * it, since another version runs the request while no endpoint of the assigned one is listed. Not thread-safe.
 */
public class SessionVersions(
    private val idleTimeout: Duration,
) {
    private class Session(
        var version: String,
        var lastRunAt: Long,
    ) {
        var runningRequests = 0
        var expiresAt = lastRunAt

        fun isActive(now: Long): Boolean = runningRequests > 0 || expiresAt - now > 0
    }

    private val sessions =
        object : LinkedHashMap<String, Session>(INITIAL_SESSIONS, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Session>): Boolean =
                size > MAXIMUM_SESSIONS
        }

    /** Records that a request of [session] starts to run on [version] at [now]. */
    public fun recordStart(
        session: String,
        version: String,
        now: Long,
    ) {
        val entry = sessions.getOrPut(session) { Session(version, lastRunAt = now) }
        entry.version = version
        entry.lastRunAt = now
        entry.runningRequests++
    }

    /**
     * Records what another router tells at [now]: that it is [running] a request of [session] on [version], or that the
     * latest one ended [idle] ago. A run that this router knows to be later holds.
     */
    public fun recordRemoteRun(
        session: String,
        version: String,
        running: Boolean,
        idle: Duration,
        now: Long,
    ) {
        val ranAt = now - idle.inWholeNanoseconds
        val entry = sessions.getOrPut(session) { Session(version, lastRunAt = ranAt) }
        if (entry.runningRequests > 0 || ranAt - entry.lastRunAt < 0) return
        entry.version = version
        entry.lastRunAt = ranAt
        entry.expiresAt = ranAt + (if (running) idleTimeout + MAXIMUM_REMOTE_RUN else idleTimeout).inWholeNanoseconds
    }

    /** Sessions that are active at [now], each with its version. */
    public fun activeSessions(now: Long): List<ActiveSession> =
        sessions.filterValues { it.isActive(now) }.map { (id, entry) ->
            val isRunning = entry.runningRequests > 0
            val idle = if (isRunning) Duration.ZERO else (now - entry.lastRunAt).nanoseconds
            ActiveSession(id, entry.version, isRunning, idle)
        }

    /** Records that a request of [session] ended at [now]. */
    public fun recordEnd(
        session: String,
        now: Long,
    ) {
        val entry = sessions[session] ?: return
        entry.runningRequests--
        entry.lastRunAt = now
        entry.expiresAt = now + idleTimeout.inWholeNanoseconds
    }

    /** The version that a request of [session] at [now] must keep to, or null if the request starts a new session. */
    public fun versionOf(
        session: String,
        now: Long,
    ): String? = sessions[session]?.takeIf { it.isActive(now) }?.version

    private companion object {
        const val INITIAL_SESSIONS = 64
        const val LOAD_FACTOR = 0.75f

        /** More sessions than one router serves within the idle timeout; takes some megabytes at most. */
        const val MAXIMUM_SESSIONS = 20_000

        /** The longest streams take this long, so a remote request whose end was never announced has ended by then. */
        val MAXIMUM_REMOTE_RUN = 10.seconds
    }
}
