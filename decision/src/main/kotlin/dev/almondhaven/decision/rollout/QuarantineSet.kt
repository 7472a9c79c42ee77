package dev.almondhaven.decision.rollout

import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelVersionId

/**
 * Immutable set of the quarantines that a router knows. Merging is commutative, associative and idempotent: of two
 * quarantines of the same definition of a version the earlier one is kept.
 */
public class QuarantineSet private constructor(
    private val bySubject: Map<QuarantineSubject, Quarantine>,
) {
    /** All quarantines in order of time. */
    public val all: List<Quarantine> get() = bySubject.values.sortedWith(ORDER)

    /** Whether there are no quarantines. */
    public val isEmpty: Boolean get() = bySubject.isEmpty()

    /** Whether this definition of [version] is in quarantine. */
    public fun contains(version: ModelVersion): Boolean = bySubject.isNotEmpty() && find(version) != null

    /** The quarantine of this definition of [version], or null. */
    public fun find(version: ModelVersion): Quarantine? = bySubject[QuarantineSubject(version.id, version.definedIn)]

    /** Returns a set that also contains [quarantine]. */
    public fun plus(quarantine: Quarantine): QuarantineSet {
        val existing = bySubject[quarantine.subject]
        if (existing != null && ORDER.compare(existing, quarantine) <= 0) return this
        return QuarantineSet(bySubject + (quarantine.subject to quarantine))
    }

    /** Returns the union of both sets. */
    public fun merge(other: QuarantineSet): QuarantineSet =
        other.bySubject.values.fold(this) { set, it -> set.plus(it) }

    /**
     * Returns a set without the quarantines of superseded definitions. [definedIn] gives the generation of a
     * version's current definition, or null if the version is unknown. A quarantine of a newer definition or of an
     * unknown version is kept, since the configuration note with that definition may not have arrived yet.
     */
    public fun withoutSuperseded(definedIn: (ModelVersionId) -> Generation?): QuarantineSet {
        val kept =
            bySubject.filterKeys { subject ->
                val currentDefinition = definedIn(subject.version)
                currentDefinition == null || subject.definedIn >= currentDefinition
            }
        return if (kept.size == bySubject.size) this else QuarantineSet(kept)
    }

    /**
     * The versions of [allowed] on which new sessions may start. If every allowed version is in quarantine, the one
     * with the least evidence against it is kept: automatic decisions must never leave an organisation without a
     * model.
     */
    public fun usable(allowed: List<ModelVersion>): List<ModelVersion> {
        if (isEmpty) return allowed
        val unquarantined = allowed.filterNot { contains(it) }
        if (unquarantined.isNotEmpty() || allowed.isEmpty()) return unquarantined
        return listOf(allowed.minWith(compareBy({ evidenceAgainst(it) }, { it.id.toString() })))
    }

    private fun evidenceAgainst(version: ModelVersion): Double = find(version)?.evidence?.logEvidence ?: 0.0

    override fun equals(other: Any?): Boolean = other is QuarantineSet && bySubject == other.bySubject

    override fun hashCode(): Int = bySubject.hashCode()

    override fun toString(): String = "QuarantineSet($all)"

    public companion object {
        private val ORDER =
            compareBy<Quarantine>({ it.at }, { it.by.value }, { it.version.toString() })
                .thenBy { it.definedIn }
                .thenBy { it.evidence.toString() }

        /** No quarantine. */
        public val EMPTY: QuarantineSet = QuarantineSet(emptyMap())

        /** The set of [quarantines]. */
        public fun of(quarantines: Iterable<Quarantine>): QuarantineSet =
            quarantines.fold(EMPTY) { set, it -> set.plus(it) }
    }
}
