package dev.almondhaven.decision.rollout

import dev.almondhaven.decision.choice.EvidencePool
import dev.almondhaven.decision.choice.EvidenceSubject
import dev.almondhaven.decision.choice.Tally

/**
 * The evidence of the last seconds and minutes, as it came in at this router. Windows restart at several periods, so
 * that a version that turns bad is not measured by the good time before. They are kept of the fleet's evidence and of the
 * router's own: other routers' readings come late in a large fleet and would thin out what is seen here at once. Not safe
 * for use by several threads.
 */
public class RecentWindows(
    private val pool: EvidencePool,
) {
    private val pooled = PERIODS_MILLIS.map { Mark(it) }
    private val own = PERIODS_MILLIS.map { Mark(it) }

    /** Restarts the windows whose period is over at [epochMillis]. */
    public fun advance(epochMillis: Long) {
        pooled.forEach { it.advance(pool.cumulative, epochMillis) }
        own.forEach { it.advance(pool.ownCumulative, epochMillis) }
    }

    /** What has come in since the start of each window, by subject. */
    public fun windows(): List<Map<EvidenceSubject, Tally>> =
        pooled.map { it.since(pool.cumulative) } + own.map { it.since(pool.ownCumulative) }

    /** A window that is between one and two [period]s long. */
    private class Mark(
        private val period: Long,
    ) {
        private var startedAt = Long.MIN_VALUE
        private var start = emptyMap<EvidenceSubject, Tally>()
        private var next = emptyMap<EvidenceSubject, Tally>()

        fun advance(
            arrived: Map<EvidenceSubject, Tally>,
            epochMillis: Long,
        ) {
            if (startedAt != Long.MIN_VALUE && epochMillis - startedAt < period) return
            startedAt = epochMillis
            start = next
            next = HashMap(arrived)
        }

        fun since(arrived: Map<EvidenceSubject, Tally>): Map<EvidenceSubject, Tally> =
            arrived.mapValues { (subject, tally) -> start[subject]?.let { tally - it } ?: tally }
    }

    private companion object {
        val PERIODS_MILLIS = listOf(15_000L, 90_000L, 600_000L)
    }
}
