package dev.almondhaven.decision.traffic

/**
 * The typical time between two events of the streams of a service, for each model: a running median, which a minority of
 * slow or fast endpoints does not move. Not thread-safe.
 */
public class TypicalPace {
    private val medians = HashMap<String, RunningMedian>()

    /** Records that a stream of [model] had [millis] between its events. */
    public fun record(
        model: String,
        millis: Double,
    ) {
        medians.getOrPut(model, ::RunningMedian).record(millis)
    }

    /** The typical time in milliseconds; null while too few streams of [model] are known. */
    public fun millis(model: String): Double? = medians[model]?.value

    private class RunningMedian {
        private val recent = DoubleArray(RECENT_STREAMS)
        private var recorded = 0

        /** Null while too few samples are known. */
        var value: Double? = null
            private set

        fun record(sample: Double) {
            recent[recorded % RECENT_STREAMS] = sample
            recorded++
            val known = minOf(recorded, RECENT_STREAMS)
            if (known >= FEWEST_STREAMS) value = recent.copyOf(known).apply { sort() }[known / 2]
        }
    }

    private companion object {
        /** Enough for a steady median, and few enough to follow a change of the service within a minute. */
        const val RECENT_STREAMS = 64

        /** With fewer the median may lie among the slow ones. */
        const val FEWEST_STREAMS = 12
    }
}
