package dev.almondhaven.decision.traffic

/**
 * Prompts that other routers have announced to be read at one endpoint. An announcement ends with the one that revokes
 * it, or by itself if that is lost. Not safe for use from several threads.
 */
public class RemotePrefills {
    private class Entry(
        val millis: Double,
        val until: Long,
    )

    private val entries = HashMap<String, Entry>()

    /** Notes that the attempt [key] will keep the endpoint reading for [millis]. */
    public fun add(
        key: String,
        millis: Double,
        now: Long,
    ) {
        if (!(millis > 0 && millis <= LONGEST_MILLIS)) return
        if (entries.size >= MOST_ENTRIES) drop(now)
        entries[key] = Entry(millis, now + ((millis * LIFE_FACTOR + LIFE_MILLIS) * NANOS_PER_MILLI).toLong())
    }

    /** Notes that the attempt [key] no longer reads. */
    public fun remove(key: String) {
        entries.remove(key)
    }

    /** Milliseconds of reading that wait at the endpoint. */
    public fun totalMillis(now: Long): Double {
        if (entries.isEmpty()) return 0.0
        drop(now)
        return entries.values.sumOf { it.millis }
    }

    private fun drop(now: Long) {
        entries.values.removeIf { it.until - now <= 0 }
    }

    private companion object {
        /** No prompt takes longer; a larger figure is a damaged announcement. */
        const val LONGEST_MILLIS = 60_000.0

        /** An announcement whose end was lost must not keep an endpoint idle for long. */
        const val LIFE_FACTOR = 2.0
        const val LIFE_MILLIS = 500.0
        const val MOST_ENTRIES = 512
        const val NANOS_PER_MILLI = 1e6
    }
}
