package dev.almondhaven.decision.traffic

/**
 * What is known of a canary, by route and in all: a new version may fail on one route only, whose failures are few
 * among the answers of all routes. Not thread-safe.
 */
public class CanaryEvidence {
    private val all = CanaryComparison()
    private val byRoute = HashMap<String, CanaryComparison>()
    private val announcers = HashSet<String>()

    /**
     * Whether the answers come from many endpoints, as several other routers have announced theirs, or most of the canary's
     * have failed. The answers that one router has seen come from a few endpoints, some of which may be slow by themselves;
     * a version that is slow is slow at most of its endpoints.
     */
    public val isRepresentative: Boolean
        get() = announcers.size >= MIN_ANNOUNCERS || all.counts.run { canaryFailures * 2 > canaryAnswers }

    /** What this router has seen itself on each route. */
    public val ownCounts: Map<String, CanaryCounts> get() = byRoute.mapValues { it.value.ownCounts }

    /** Records the outcome of a request of [route] at an endpoint of either version. */
    public fun record(
        route: String,
        isCanary: Boolean,
        failed: Boolean,
    ) {
        all.record(isCanary, failed)
        comparisonOf(route)?.record(isCanary, failed)
    }

    /** Records what [router] has seen on [route] since the roll-out began. */
    public fun recordAnnounced(
        router: String,
        route: String,
        counts: CanaryCounts,
    ) {
        announcers += router
        if (comparisonOf(route)?.recordAnnounced(router, counts) == true) all.recordAnnounced("$router/$route", counts)
    }

    /** The comparison of [route]; null for routes beyond the number that is told apart. */
    private fun comparisonOf(route: String): CanaryComparison? {
        if (route !in byRoute && byRoute.size >= MAX_ROUTES) return null
        return byRoute.getOrPut(route, ::CanaryComparison)
    }

    /** Whether the canary is worse on any route or in all, to one of [routers] that test on their own. */
    public fun isCanaryWorse(routers: Int): Boolean {
        val tests = routers * (byRoute.size + 1)
        return all.isCanaryWorse(tests) || byRoute.values.any { it.isCanaryWorse(tests) }
    }

    override fun toString(): String = "${all.counts}"

    private companion object {
        const val MIN_ANNOUNCERS = 3

        /** Routes with traffic are few, however many a configuration has. */
        const val MAX_ROUTES = 64
    }
}
