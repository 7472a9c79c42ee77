package dev.almondhaven.decision.endpoint

/**
 * The endpoints that can serve one version or plain service, as one router sees them. Immutable; a new one is built
 * when the catalogue or the fleet changes.
 *
 * @property local endpoints of the router's own failure domain, or the subset that it uses.
 * @property remote endpoints of other failure domains, or the subset that it uses.
 */
public class EndpointPool(
    public val local: List<EndpointState>,
    public val remote: List<EndpointState>,
) {
    private val affinity = AffinityTable(local.ifEmpty { remote })

    /** Average requests of other routers at an endpoint, by the reports; refreshed by the duty that polls them. */
    @Volatile
    public var averageOtherRequests: Double = 0.0
        private set

    /** Whether the pool has no endpoint. */
    public val isEmpty: Boolean get() = local.isEmpty() && remote.isEmpty()

    /** The endpoint that most likely holds the cache of [key]. */
    public fun preferred(key: Long): EndpointState? = affinity.preferred(key)

    /** Works out [averageOtherRequests] from the reports held now. */
    public fun updateAverageOtherRequests() {
        val reported = (local + remote).mapNotNull { it.othersReported }
        averageOtherRequests = if (reported.isEmpty()) 0.0 else reported.average()
    }

    public companion object {
        /** The pool of a version that no endpoint serves. */
        public val EMPTY: EndpointPool = EndpointPool(emptyList(), emptyList())
    }
}
