package dev.almondhaven.decision.endpoint

/**
 * A set of interchangeable endpoints that bounds outlier ejection: at most [maximumShare] of those that take requests, and
 * never the last one, is ejected at a time. A router that sees every endpoint fail is more likely partitioned or
 * overloading the pool itself. Endpoints that drain or are evacuated can't stand in for an ejected one, so they don't count
 * and may be ejected at any time.
 */
public class EjectionGroup(
    private val maximumShare: Double = DEFAULT_MAXIMUM_SHARE,
) {
    private val members = LinkedHashSet<EndpointHealth>()

    init {
        require(maximumShare in 0.0..1.0) { "maximumShare must be from 0 to 1, got $maximumShare" }
    }

    /** Number of endpoints that are ejected. */
    public val ejectedCount: Int get() = synchronized(members) { members.count { it.isEjected } }

    internal fun add(health: EndpointHealth) {
        synchronized(members) { members += health }
    }

    internal fun remove(health: EndpointHealth) {
        synchronized(members) { members -= health }
    }

    /**
     * Runs [eject] and returns its result if the bound allows [health] to be ejected; otherwise returns false. Runs
     * only after repeated failures, so the lock is rarely contended.
     */
    internal fun tryEject(
        health: EndpointHealth,
        eject: () -> Boolean,
    ): Boolean =
        synchronized(members) {
            allowsEjection(health) && eject()
        }

    private fun allowsEjection(health: EndpointHealth): Boolean {
        val counted = countedMembers()
        if (health !in counted) return true
        val maximum = minOf((counted.size * maximumShare).toInt(), counted.size - 1)
        return counted.count { it !== health && it.isEjected } < maximum
    }

    /** The members that take requests, or all if none does. */
    private fun countedMembers(): List<EndpointHealth> =
        members.filter { it.takesRequests() }.ifEmpty { members.toList() }

    /** Whether all members that take requests are ejected, since others have stopped taking requests meanwhile. */
    internal fun isExhausted(): Boolean = synchronized(members) { members.none { !it.isEjected && it.takesRequests() } }

    public companion object {
        public const val DEFAULT_MAXIMUM_SHARE: Double = 0.7
    }
}
