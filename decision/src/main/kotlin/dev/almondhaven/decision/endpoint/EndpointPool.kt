package dev.almondhaven.decision.endpoint

/**
 * The endpoints of one model version or plain service that a router uses. The lists are immutable; a new pool is built
 * when the catalogue or the fleet changes.
 *
 * @property local endpoints of the router's own failure domain, or the router's subset of them.
 * @property remote endpoints of other failure domains, or the router's subset of them.
 */
public class EndpointPool(
    public val local: List<EndpointState>,
    public val remote: List<EndpointState>,
) {
    private val affinity = AffinityTable(local.ifEmpty { remote })

    /** Average number of requests from other routers per endpoint, according to the latest load reports. */
    @Volatile
    public var averageOtherRequests: Double = 0.0
        private set

    /** Whether the pool has no endpoints. */
    public val isEmpty: Boolean get() = local.isEmpty() && remote.isEmpty()

    /** The endpoint that most likely has the session or prompt prefix of [key] cached; null in an empty pool. */
    public fun preferred(key: Long): EndpointState? = affinity.preferred(key)

    /** Recomputes [averageOtherRequests]; called by the thread that receives the load reports. */
    public fun updateAverageOtherRequests() {
        val reported = (local + remote).mapNotNull { it.othersReported }
        averageOtherRequests = if (reported.isEmpty()) 0.0 else reported.average()
    }

    public companion object {
        /** The pool of a version without endpoints. */
        public val EMPTY: EndpointPool = EndpointPool(emptyList(), emptyList())
    }
}
