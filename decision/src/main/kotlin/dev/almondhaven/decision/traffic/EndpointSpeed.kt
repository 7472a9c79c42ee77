package dev.almondhaven.decision.traffic

/**
 * How much longer than usual an endpoint takes for the same work, learned from the pace of its streams.
 *
 * Load pattern: a service whose endpoints run on unlike hardware. A prompt that a fast endpoint reads in time is late at a
 * slow one, although both report the same load. Not thread-safe.
 */
public class EndpointSpeed(
    private val typical: TypicalPace,
) {
    private var learned: Double? = null

    /** Factor on the usual time for any work; 1 while it is not known, or close to the usual. */
    public val slowness: Double
        get() = learned?.takeIf { it !in USUAL_RANGE } ?: 1.0

    /** Records that a stream of [model] had [millis] between its events on this endpoint. */
    public fun record(
        model: String,
        millis: Double,
    ) {
        if (!(millis > 0)) return
        val usual = typical.millis(model)
        typical.record(model, millis)
        if (usual == null) return
        val sample = (millis / usual).coerceIn(1 / LARGEST_FACTOR, LARGEST_FACTOR)
        learned = learned?.let { it + (sample - it) * SAMPLE_WEIGHT } ?: sample
    }

    /** Forgets what was learned, since another process has taken the endpoint's place. */
    public fun clear() {
        learned = null
    }

    private companion object {
        /** Differences within this range are noise of the measurement. */
        val USUAL_RANGE = 0.85..1.15

        /** No hardware of one service differs more; a larger factor comes from a stream that was held up. */
        const val LARGEST_FACTOR = 8.0

        /** Weight of one stream: an endpoint that turns slow is known after a few streams. */
        const val SAMPLE_WEIGHT = 0.4
    }
}
