package dev.almondhaven.decision.traffic

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides how long an endpoint may be silent before its request is taken to another one.
 *
 * Load pattern: in a large fleet a router has hardly two streams at one engine, so that it can't tell from the others
 * whether a silent engine is stalled or reads a long prompt of another router. Breaking a sound stream off costs its
 * prefill and a retry, and the engines read the more the more they are loaded. A stream is on time as long as no pause
 * exceeds the one that its route allows, so a router waits while it could still go on elsewhere within that pause. Where
 * nothing else can serve the request, a silence is no reason to end it.
 */
public object StallPolicy {
    /**
     * How long an engine may pause between two events.
     *
     * @param longestPause the pause that the route allows; null if it states none.
     * @param prefillBacklogMillis outstanding prefill at the engine, as far as this router knows.
     * @param elsewhereMillis expected time to the first event at another engine; infinite if there is none.
     */
    public fun eventTimeout(
        longestPause: Duration?,
        prefillBacklogMillis: Double,
        elsewhereMillis: Double,
    ): Duration {
        val shortest = shortestEventTimeout(prefillBacklogMillis)
        if (!elsewhereMillis.isFinite()) return Duration.INFINITE
        if (longestPause == null) return shortest
        return maxOf(shortest, longestPause - elsewhereMillis.milliseconds * SAFETY_FACTOR - TRANSIT_TIME)
    }

    /** A pause that is always waited for: an engine pauses during the prefill of another long prompt. */
    public fun shortestEventTimeout(prefillBacklogMillis: Double): Duration =
        if (prefillBacklogMillis > DELAYING_PREFILL_MILLIS) EVENT_TIMEOUT_DURING_PREFILL else EVENT_TIMEOUT

    /**
     * How long an engine may take to its first event.
     *
     * @param timeToObjective time that is left of the latency objective at the start of the attempt.
     * @param elsewhereMillis expected time to the first event at another engine; infinite if there is none.
     */
    public fun firstEventTimeout(
        timeToObjective: Duration,
        prefillBacklogMillis: Double,
        elsewhereMillis: Double,
    ): Duration {
        val shortest = shortestFirstEventTimeout(prefillBacklogMillis)
        if (!elsewhereMillis.isFinite()) return Duration.INFINITE
        return maxOf(shortest, timeToObjective * FIRST_ENDPOINT_SHARE - elsewhereMillis.milliseconds)
    }

    /** A time to the first event that is always waited for. */
    public fun shortestFirstEventTimeout(prefillBacklogMillis: Double): Duration =
        FIRST_EVENT_TIMEOUT + prefillBacklogMillis.milliseconds * PREFILL_SAFETY_FACTOR

    /** Several decode steps of a busy engine. */
    private val EVENT_TIMEOUT = 350.milliseconds
    private val EVENT_TIMEOUT_DURING_PREFILL = 600.milliseconds
    private const val DELAYING_PREFILL_MILLIS = 150.0

    /** A decode step of a busy engine takes tens of milliseconds; an estimated prefill may take longer than expected. */
    private val FIRST_EVENT_TIMEOUT = 700.milliseconds
    private const val PREFILL_SAFETY_FACTOR = 2.0

    /** The engine that is expected to answer first may be busier than this router knows. */
    private const val SAFETY_FACTOR = 1.5

    /** Round trips to the other engine and to the caller, and the interval of the checks. */
    private val TRANSIT_TIME = 100.milliseconds

    /** A second endpoint gets as much of the objective as the first one. */
    private const val FIRST_ENDPOINT_SHARE = 0.5
}
