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
    private val millisByModel = HashMap<String, Double>()

    /** Factor on the usual time for any work; 1 while it is not known, or close to the usual. */
    public val slowness: Double
        get() {
            var sum = 0.0
            var known = 0
            for ((model, millis) in millisByModel) {
                val usual = typical.millis(model) ?: continue
                sum += (millis / usual).coerceIn(1 / LARGEST_FACTOR, LARGEST_FACTOR)
                known++
            }
            val mean = if (known == 0) 1.0 else sum / known
            return if (mean in USUAL_RANGE) 1.0 else mean
        }

    /** Records that a stream of [model] had [millis] between its events on this endpoint. */
    public fun record(
        model: String,
        millis: Double,
    ) {
        if (millis !in PLAUSIBLE_MILLIS) return
        typical.record(model, millis)
        millisByModel[model] = millisByModel[model]?.let { it + (millis - it) * SAMPLE_WEIGHT } ?: millis
    }

    /** Forgets what was learned, since another process has taken the endpoint's place. */
    public fun clear() {
        millisByModel.clear()
    }

    private companion object {
        /** Differences within this range are noise of the measurement. */
        val USUAL_RANGE = 0.85..1.15

        /** No hardware of one service differs more; a larger factor comes from a stream that was held up. */
        const val LARGEST_FACTOR = 8.0

        /** Weight of one stream: an endpoint that turns slow is known after a few streams. */
        const val SAMPLE_WEIGHT = 0.4

        /** Between two events of a stream. */
        val PLAUSIBLE_MILLIS = 0.05..10_000.0
    }
}
