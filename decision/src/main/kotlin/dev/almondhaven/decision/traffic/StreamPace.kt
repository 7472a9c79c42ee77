package dev.almondhaven.decision.traffic

/** Median time between the events of one stream, from its first ones. Not thread-safe. */
public class StreamPace {
    private val gaps = DoubleArray(MOST_GAPS)
    private var count = 0

    /** Records that [events] events arrived [millis] after the one before them. */
    public fun record(
        millis: Double,
        events: Int,
    ) {
        if (count < MOST_GAPS && events > 0) gaps[count++] = millis / events
    }

    /** The median time in milliseconds; null while too few events are known. */
    public val medianMillis: Double?
        get() = if (count < FEWEST_GAPS) null else gaps.copyOf(count).apply { sort() }[count / 2]

    private companion object {
        const val MOST_GAPS = 24

        /** Fewer may all lie within the prefill of another prompt. */
        const val FEWEST_GAPS = 6
    }
}
