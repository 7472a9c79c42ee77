package dev.almondhaven.decision.endpoint

/**
 * A set of interchangeable endpoints that bounds outlier ejection: at most [maximumShare] of them, and never the last
 * one, is ejected at a time. A router that sees every endpoint fail is more likely partitioned or overloading the
 * pool itself.
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
            val others = members.count { it !== health && it.isEjected }
            others + 1 <= maximumEjected() && eject()
        }

    private fun maximumEjected(): Int = minOf((members.size * maximumShare).toInt(), members.size - 1)

    public companion object {
        public const val DEFAULT_MAXIMUM_SHARE: Double = 0.7
    }
}
