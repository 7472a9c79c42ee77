package dev.almondhaven.decision.traffic

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The versions of one service that sessions last ran on, at this router or, as far as they say so, at others. A session counts from its first run until [gap] after the end of
 * its last one; a request that comes later begins a new session. What counts is where a request did run, not where it
 * was meant to: while no endpoint of a version is listed another version runs it. Not safe for use from several threads.
 */
public class SessionVersions(
    private val gap: Duration,
) {
    private class Session(
        var version: String,
        var running: Int,
        var keptUntil: Long,
    ) {
        fun keptAt(now: Long): Boolean = running > 0 || keptUntil - now > 0
    }

    private val sessions =
        object : LinkedHashMap<String, Session>(INITIAL_SESSIONS, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Session>): Boolean =
                size > MOST_SESSIONS
        }

    /** Notes that a request of [session] begins to run on [version] at [now]. */
    public fun recordStart(
        session: String,
        version: String,
        now: Long,
    ) {
        val held = sessions.getOrPut(session) { Session(version, running = 0, keptUntil = now) }
        held.version = version
        held.running++
    }

    /** Notes that another router runs a request of [session] on [version], or has done so until [now]. */
    public fun recordRemoteRun(
        session: String,
        version: String,
        running: Boolean,
        now: Long,
    ) {
        val held = sessions.getOrPut(session) { Session(version, running = 0, keptUntil = now) }
        held.version = version
        held.keptUntil = now + (if (running) gap + LONGEST_RUN else gap).inWholeNanoseconds
    }

    /** Sessions that count at [now] and whether a run of theirs goes on here, for each its version. */
    public fun activeSessions(now: Long): List<ActiveSession> =
        sessions.filterValues { it.keptAt(now) }.map { (id, held) ->
            ActiveSession(id, held.version, held.running > 0)
        }

    /** Notes that a run of [session] has ended at [now]. */
    public fun recordEnd(
        session: String,
        now: Long,
    ) {
        val held = sessions[session] ?: return
        held.running--
        held.keptUntil = now + gap.inWholeNanoseconds
    }

    /** The version that a request of [session] belongs to at [now], or null if it begins a new session. */
    public fun versionOf(
        session: String,
        now: Long,
    ): String? = sessions[session]?.takeIf { it.keptAt(now) }?.version

    private companion object {
        const val INITIAL_SESSIONS = 64
        const val LOAD_FACTOR = 0.75f

        /** Some megabytes at most; more sessions than one router sees within the gap. */
        const val MOST_SESSIONS = 20_000

        /** A run elsewhere whose end is never heard of is over by then: streams of the longest answers take this long. */
        val LONGEST_RUN = 10.seconds
    }
}
