package dev.almondhaven.decision.endpoint

/**
 * Endpoints that stand in for each other. At most [maximumShare] of them, and never the last one, is ejected at a time,
 * since a router that sees everything fail is more likely cut off or overloading the pool than right.
 */
public class EjectionGroup(
    private val maximumShare: Double = DEFAULT_MAXIMUM_SHARE,
) {
    private val members = LinkedHashSet<EndpointHealth>()

    init {
        require(maximumShare in 0.0..1.0) { "maximumShare must be from 0 to 1, got $maximumShare" }
    }

    /** Endpoints ejected now. */
    public val ejectedCount: Int get() = synchronized(members) { members.count { it.isEjected } }

    internal fun add(health: EndpointHealth) {
        synchronized(members) { members += health }
    }

    internal fun remove(health: EndpointHealth) {
        synchronized(members) { members -= health }
    }

    /** Runs [eject] if the group can spare [health]. Called only after a run of failures, hence the lock. */
    internal fun tryEject(
        health: EndpointHealth,
        eject: () -> Boolean,
    ): Boolean =
        synchronized(members) {
            val others = members.count { it !== health && it.isEjected }
            others + 1 <= allowance() && eject()
        }

    private fun allowance(): Int = minOf((members.size * maximumShare).toInt(), members.size - 1)

    public companion object {
        public const val DEFAULT_MAXIMUM_SHARE: Double = 0.7
    }
}
