package dev.almondhaven.decision.rollout

import dev.almondhaven.decision.choice.EvidenceSubject
import dev.almondhaven.decision.choice.Tally

/**
 * The evidence of the last seconds and minutes, as it came in at this router. Windows restart at several periods, so
 * that a version that turns bad is not measured by the good time before. Not safe for use by several threads.
 */
public class RecentWindows {
    private val marks = PERIODS_MILLIS.map { Mark(it) }

    /** Takes note of the [arrived] evidence at [epochMillis], and restarts the windows whose period is over. */
    public fun advance(
        arrived: Map<EvidenceSubject, Tally>,
        epochMillis: Long,
    ): Unit = marks.forEach { it.advance(arrived, epochMillis) }

    /** What has come in since the start of each window, by subject. */
    public fun windows(arrived: Map<EvidenceSubject, Tally>): List<Map<EvidenceSubject, Tally>> =
        marks.map { mark -> arrived.mapValues { (subject, tally) -> mark.since(subject, tally) } }

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

        fun since(
            subject: EvidenceSubject,
            tally: Tally,
        ): Tally = start[subject]?.let { tally - it } ?: tally
    }

    private companion object {
        val PERIODS_MILLIS = listOf(15_000L, 90_000L, 600_000L)
    }
}
