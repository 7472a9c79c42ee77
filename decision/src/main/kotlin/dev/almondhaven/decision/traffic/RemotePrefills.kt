package dev.almondhaven.decision.traffic

/**
 * Outstanding prefills at one endpoint that other routers have announced. An announcement lasts until it is revoked, or
 * expires if the revocation is lost. Not thread-safe.
 */
public class RemotePrefills {
    private class Announcement(
        val millis: Double,
        val expiresAt: Long,
    )

    private val announcements = HashMap<String, Announcement>()

    /** Records that the attempt [key] is estimated to keep the endpoint prefilling for [millis]. */
    public fun add(
        key: String,
        millis: Double,
        now: Long,
    ) {
        if (!(millis > 0 && millis <= MAXIMUM_PREFILL_MILLIS)) return
        if (announcements.size >= MAXIMUM_ANNOUNCEMENTS) removeExpired(now)
        val lifetimeMillis = millis * LIFETIME_FACTOR + MINIMUM_LIFETIME_MILLIS
        announcements[key] = Announcement(millis, now + (lifetimeMillis * NANOS_PER_MILLI).toLong())
    }

    /** Records that the prefill of the attempt [key] has ended. */
    public fun remove(key: String) {
        announcements.remove(key)
    }

    /** Total estimated milliseconds of the announced prefills. */
    public fun totalMillis(now: Long): Double {
        if (announcements.isEmpty()) return 0.0
        removeExpired(now)
        return announcements.values.sumOf { it.millis }
    }

    private fun removeExpired(now: Long) {
        announcements.values.removeIf { it.expiresAt - now <= 0 }
    }

    private companion object {
        /** No prefill takes longer; a larger value comes from a corrupt announcement. */
        const val MAXIMUM_PREFILL_MILLIS = 60_000.0

        /** An announcement whose revocation was lost must not keep an endpoint idle for long. */
        const val LIFETIME_FACTOR = 2.0
        const val MINIMUM_LIFETIME_MILLIS = 500.0
        const val MAXIMUM_ANNOUNCEMENTS = 512
        const val NANOS_PER_MILLI = 1e6
    }
}
