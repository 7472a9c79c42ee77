package dev.almondhaven.experiments.deployment

/**
 * Calls that one router answered and for which the platform stores no billing record.
 *
 * @property killed whether the router was killed without a graceful shutdown.
 * @property firstSecond seconds from the start of the run's first call to the end of the earliest unbilled call.
 * @property lastSecond the same for the latest unbilled call.
 */
public data class UnbilledCalls(
    public val router: String,
    public val killed: Boolean,
    public val calls: Int,
    public val firstSecond: Double,
    public val lastSecond: Double,
) {
    public companion object {
        private const val MILLIS_PER_SECOND = 1_000.0

        /** The unbilled calls of [observations], one entry for each router that has any. */
        public fun of(observations: Observations): List<UnbilledCalls> {
            val start = observations.calls.minOfOrNull { it.startedAt } ?: return emptyList()
            return InvariantChecker.unbilledCalls(observations).groupBy { it.router }.map { (router, calls) ->
                val seconds = calls.map { (it.endedAt - start) / MILLIS_PER_SECOND }
                UnbilledCalls(router, router in observations.killed, calls.size, seconds.min(), seconds.max())
            }
        }
    }
}
