package dev.almondhaven.decision.choice

import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.TaskClass
import java.util.NavigableMap

/** The evidence of all routers by subject and time bucket. */
public class EvidenceTotals(
    private val tallies: Map<EvidenceSubject, NavigableMap<Long, Tally>>,
) {
    /** Task classes with evidence about [version] as defined in generation [definedIn]. */
    public fun taskClasses(
        version: ModelVersionId,
        definedIn: Generation,
    ): List<TaskClass> = tallies.keys.filter { it.version == version && it.definedIn == definedIn }.map { it.taskClass }

    /** The sum of the tallies of [subject] over the buckets in [range]. */
    public fun sum(
        subject: EvidenceSubject,
        range: LongRange,
    ): Tally {
        val buckets = tallies[subject] ?: return Tally.EMPTY
        return Tally.sum(buckets.subMap(range.first, range.last + 1).values)
    }

    /** The tallies of [subject] by bucket. */
    public fun buckets(subject: EvidenceSubject): Map<Long, Tally> = tallies[subject].orEmpty()

    /** All subjects with evidence. */
    public val subjects: Set<EvidenceSubject> get() = tallies.keys
}
