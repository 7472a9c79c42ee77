package dev.almondhaven.decision.rollout

import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelVersionId

/**
 * The quarantines that a router knows of. Sets merge commutatively, associatively and idempotently: of two quarantines
 * of one definition the earlier one stays.
 */
public class QuarantineSet private constructor(
    private val bySubject: Map<QuarantineSubject, Quarantine>,
) {
    /** Every quarantine, in order of time. */
    public val all: List<Quarantine> get() = bySubject.values.sortedWith(ORDER)

    /** Whether there is none. */
    public val isEmpty: Boolean get() = bySubject.isEmpty()

    /** Whether [version] as it is now defined is in quarantine. */
    public fun contains(version: ModelVersion): Boolean = bySubject.isNotEmpty() && find(version) != null

    /** The quarantine of [version] as it is now defined, or null. */
    public fun find(version: ModelVersion): Quarantine? = bySubject[QuarantineSubject(version.id, version.definedIn)]

    /** With [quarantine] as well. */
    public fun plus(quarantine: Quarantine): QuarantineSet {
        val held = bySubject[quarantine.subject]
        if (held != null && ORDER.compare(held, quarantine) <= 0) return this
        return QuarantineSet(bySubject + (quarantine.subject to quarantine))
    }

    /** With everything in [other] as well. */
    public fun merge(other: QuarantineSet): QuarantineSet =
        other.bySubject.values.fold(this) { set, it -> set.plus(it) }

    /**
     * Without quarantines that [definedIn], the current definitions' generations, has overtaken or that concern versions
     * no longer there. A quarantine of a definition newer than the one held here stays: the note is still on its way.
     */
    public fun withoutSuperseded(definedIn: (ModelVersionId) -> Generation?): QuarantineSet {
        val kept =
            bySubject.filterKeys { subject ->
                val held = definedIn(subject.version)
                held == null || subject.definedIn >= held
            }
        return if (kept.size == bySubject.size) this else QuarantineSet(kept)
    }

    /**
     * The part of [allowed] that new sessions may start on. When every allowed version is in quarantine, the one with
     * the least evidence against it stays: an organisation is never left without a model by learned state.
     */
    public fun usable(allowed: List<ModelVersion>): List<ModelVersion> {
        if (isEmpty) return allowed
        val free = allowed.filterNot { contains(it) }
        if (free.isNotEmpty() || allowed.isEmpty()) return free
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
