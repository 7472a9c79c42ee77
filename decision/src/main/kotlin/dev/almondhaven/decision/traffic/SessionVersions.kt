package dev.almondhaven.decision.traffic

import kotlin.time.Duration

/**
 * The versions of one service that sessions last ran on. A session counts from its first run until [gap] after the end of
 * its last one; a request that comes later begins a new session. What counts is where a request did run, not where it
 * was meant to: while no endpoint of a version is listed another version runs it. Not safe for use from several threads.
 */
public class SessionVersions(
    private val gap: Duration,
) {
    private class Session(
        var version: String,
        var running: Int,
        var endedAt: Long,
    )

    private val sessions =
        object : LinkedHashMap<String, Session>(INITIAL_SESSIONS, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Session>): Boolean =
                size > MOST_SESSIONS
        }

    /** Notes that a request of [session] begins to run on [version]. */
    public fun began(
        session: String,
        version: String,
    ) {
        val held = sessions[session]
        if (held == null) {
            sessions[session] = Session(version, running = 1, endedAt = 0)
        } else {
            held.version = version
            held.running++
        }
    }

    /** Notes that a run of [session] has ended at [now]. */
    public fun ended(
        session: String,
        now: Long,
    ) {
        val held = sessions[session] ?: return
        held.running--
        held.endedAt = now
    }

    /** The version that a request of [session] belongs to at [now], or null if it begins a new session. */
    public fun versionOf(
        session: String,
        now: Long,
    ): String? = sessions[session]?.takeIf { it.running > 0 || now - it.endedAt < gap.inWholeNanoseconds }?.version

    private companion object {
        const val INITIAL_SESSIONS = 64
        const val LOAD_FACTOR = 0.75f

        /** Some megabytes at most; more sessions than one router sees within the gap. */
        const val MOST_SESSIONS = 20_000
    }
}
