package dev.almondhaven.decision.rollout

import dev.almondhaven.decision.choice.EvidencePool
import dev.almondhaven.decision.choice.EvidenceSubject
import dev.almondhaven.decision.choice.Tally

/**
 * Evidence that this router received in the last seconds and minutes. There are windows of several lengths, which
 * restart periodically, so that the good time before a version turned bad doesn't mask the change. Evidence of the
 * whole fleet and the router's own have separate windows: in a large fleet the tallies of other routers arrive late
 * and would dilute what the router observes itself at once. Not thread-safe.
 */
public class RecentWindows(
    private val pool: EvidencePool,
) {
    private val fleet = PERIODS_MILLIS.map { RotatingWindow(it) }
    private val own = PERIODS_MILLIS.map { RotatingWindow(it) }

    /** Restarts the windows whose period has elapsed at [epochMillis]. */
    public fun advance(epochMillis: Long) {
        fleet.forEach { it.advance(pool.cumulative, epochMillis) }
        own.forEach { it.advance(pool.ownCumulative, epochMillis) }
    }

    /** Tallies by subject of the evidence received in each window: first the fleet's windows, then the router's own. */
    public fun windows(): List<Map<EvidenceSubject, Tally>> =
        fleet.map { it.since(pool.cumulative) } + own.map { it.since(pool.ownCumulative) }

    /** A window whose length is between one and two times [period]. */
    private class RotatingWindow(
        private val period: Long,
    ) {
        private var rotatedAt = Long.MIN_VALUE
        private var baseline = emptyMap<EvidenceSubject, Tally>()
        private var nextBaseline = emptyMap<EvidenceSubject, Tally>()

        fun advance(
            cumulative: Map<EvidenceSubject, Tally>,
            epochMillis: Long,
        ) {
            if (rotatedAt != Long.MIN_VALUE && epochMillis - rotatedAt < period) return
            rotatedAt = epochMillis
            baseline = nextBaseline
            nextBaseline = HashMap(cumulative)
        }

        fun since(cumulative: Map<EvidenceSubject, Tally>): Map<EvidenceSubject, Tally> =
            cumulative.mapValues { (subject, tally) -> baseline[subject]?.let { tally - it } ?: tally }
    }

    private companion object {
        val PERIODS_MILLIS = listOf(15_000L, 90_000L, 600_000L)
    }
}
