package dev.almondhaven.gateway.state

import dev.almondhaven.platform.RelayedKind
import dev.almondhaven.platform.StoreChange
import dev.almondhaven.platform.StoreKind
import dev.almondhaven.platform.StoredObject

/**
 * The objects of one kind as far as this router knows them, and which ones were removed lately, for routers that ask it.
 * A router that asks gets each object that it lacks in its newest state, and none of the states in between, so that what
 * is held does not grow with the number of changes. Must be used on the event loop only.
 */
internal class KindHistory(
    val kind: StoreKind,
) {
    /** A removed object, and the [revision] of the store by which it was removed. */
    private class Removal(
        val entry: StoredObject,
        val revision: Long,
    )

    private val objects = LinkedHashMap<String, StoredObject>()

    /** Objects that were removed since [firstRevision] and have not been created again, earliest removal first. */
    private val removals = LinkedHashMap<String, Removal>()

    /** Revision of the store since which all [removals] are known. */
    private var firstRevision = 0L

    /** Revision of the store by which the newest change is known. */
    private var changedRevision = 0L

    /** Revision of the store up to which all changes are known; 0 before the first list. */
    var revision = 0L
        private set

    /** Whether the objects have been listed. */
    var isListed = false
        private set

    private fun removedCharacters(): Int = removals.values.sumOf { it.entry.encoded.length }

    /** Whether the object [name] exists. */
    fun holds(name: String): Boolean = name in objects

    /** Replaces all that is known by [list], which holds at least what the store had at [revision]. */
    fun replace(
        list: List<StoredObject>,
        revision: Long,
    ) {
        objects.clear()
        list.forEach { objects[it.name] = it }
        removals.clear()
        firstRevision = revision
        changedRevision = revision
        this.revision = revision
        isListed = true
    }

    /** Adds the [changes] up to [revision], and returns those of them that were not known yet. */
    fun add(
        changes: List<StoreChange>,
        revision: Long,
    ): List<StoreChange> {
        advance(revision)
        if (changes.isEmpty()) return changes
        changedRevision = this.revision
        val news = changes.filter(::apply)
        forgetOldRemovals()
        return news
    }

    /** False for a change from before the object was read, as on a later page of the list than the first one. */
    private fun apply(change: StoreChange): Boolean {
        val entry = change.entry
        val known = objects[entry.name]?.revision ?: -1
        when {
            change.removed -> if (entry.revision < known) return false else remove(entry)
            else -> if (entry.revision <= known) return false else put(entry)
        }
        return true
    }

    private fun put(entry: StoredObject) {
        removals.remove(entry.name)
        objects[entry.name] = entry
    }

    private fun remove(entry: StoredObject) {
        objects.remove(entry.name)
        removals.remove(entry.name)
        removals[entry.name] = Removal(entry.withoutContent(), revision)
    }

    /** A router that does not know of a removal that is forgotten gets the whole list. */
    private fun forgetOldRemovals() {
        var characters = removedCharacters()
        val eldestFirst = removals.values.iterator()
        while (removals.size > MAX_REMOVALS || characters > MAX_REMOVAL_CHARACTERS) {
            val eldest = eldestFirst.next()
            firstRevision = eldest.revision
            characters -= eldest.entry.encoded.length
            eldestFirst.remove()
        }
    }

    /**
     * Applies what another router knows more, and passes on the changes among it. If [onChanges] fails, nothing is known
     * any more, so that all is asked for again.
     */
    fun apply(
        relayed: RelayedKind,
        onChanges: (List<StoreChange>) -> Unit,
    ) {
        var isApplied = false
        try {
            onChanges(merge(relayed))
            isApplied = true
        } finally {
            if (!isApplied) forget()
        }
    }

    private fun merge(relayed: RelayedKind): List<StoreChange> {
        val list = relayed.list ?: return add(relayed.changes, relayed.revision)
        replace(list, relayed.revision)
        return relayed.changes
    }

    private fun forget() {
        replace(emptyList(), 0)
        isListed = false
    }

    /** Records that nothing has changed up to [revision]. */
    fun advance(revision: Long) {
        this.revision = maxOf(this.revision, revision)
    }

    /** Whether a router that knows all up to [known] lacks an object or a change. */
    fun hasNewsSince(known: Long): Boolean = isListed && (known < firstRevision || known < changedRevision)

    /** What a router that knows all up to [known] lacks; null if it knows as much as this one. */
    fun since(known: Long): RelayedKind? =
        when {
            !isListed || known >= revision -> null
            known < firstRevision -> RelayedKind(kind, revision, objects.values.toList(), emptyList())
            else -> RelayedKind(kind, revision, null, changesSince(known))
        }

    private fun changesSince(known: Long): List<StoreChange> {
        val removed = removals.values.filter { it.revision > known }.map { StoreChange(it.entry, removed = true) }
        val changed = objects.values.filter { it.revision > known }.sortedBy { it.revision }
        return removed + changed.map { StoreChange(it, removed = false) }
    }

    /** What is held: objects, removals, and the characters of both. */
    override fun toString(): String =
        "$kind=${objects.size}/${removals.size}/${objects.values.sumOf { it.encoded.length } + removedCharacters()}"

    private companion object {
        /** More than are removed while a router is away for some seconds; a router that lacks more gets the whole list. */
        const val MAX_REMOVALS = 512

        /** Bounds what long names take, as other writers may choose them. */
        const val MAX_REMOVAL_CHARACTERS = 262_144
    }
}
