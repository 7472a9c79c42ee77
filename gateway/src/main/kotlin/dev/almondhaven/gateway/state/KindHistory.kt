package dev.almondhaven.gateway.state

import dev.almondhaven.platform.RelayedKind
import dev.almondhaven.platform.StoreChange
import dev.almondhaven.platform.StoreKind
import dev.almondhaven.platform.StoredObject

/**
 * The objects of one kind as far as this router knows them, and their latest changes, which it passes on to routers that
 * ask it. Must be used on the event loop only.
 */
internal class KindHistory(
    val kind: StoreKind,
) {
    private class Batch(
        val revision: Long,
        val changes: List<StoreChange>,
    )

    private val objects = LinkedHashMap<String, StoredObject>()
    private val batches = ArrayDeque<Batch>()

    /** Revision of the store since which the [batches] hold all changes. */
    private var firstRevision = 0L

    /** Revision of the store up to which all changes are known; 0 before the first list. */
    var revision = 0L
        private set

    /** Whether the objects have been listed. */
    var isListed = false
        private set

    /** Whether the object [name] exists. */
    fun holds(name: String): Boolean = name in objects

    /** Replaces all that is known by [list], which holds at least what the store had at [revision]. */
    fun replace(
        list: List<StoredObject>,
        revision: Long,
    ) {
        objects.clear()
        list.forEach { objects[it.name] = it }
        batches.clear()
        firstRevision = revision
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
        val news = changes.filter(::apply)
        // Other routers may lack what this one's list held already, so all changes are kept for them.
        batches.addLast(Batch(this.revision, changes))
        while (batches.sumOf { it.changes.size } > MAX_CHANGES) firstRevision = batches.removeFirst().revision
        return news
    }

    /** False for a change from before the object was read, as on a later page of the list than the first one. */
    private fun apply(change: StoreChange): Boolean {
        val entry = change.entry
        val known = objects[entry.name]?.revision ?: -1
        when {
            change.removed -> if (entry.revision < known) return false else objects.remove(entry.name)
            else -> if (entry.revision <= known) return false else objects[entry.name] = entry
        }
        return true
    }

    /** Applies what another router knows more, and returns the changes among it. */
    fun apply(relayed: RelayedKind): List<StoreChange> {
        val list = relayed.list ?: return add(relayed.changes, relayed.revision)
        replace(list, relayed.revision)
        return relayed.changes
    }

    /** Records that nothing has changed up to [revision]. */
    fun advance(revision: Long) {
        this.revision = maxOf(this.revision, revision)
    }

    /** Whether a router that knows all up to [known] lacks an object or a change. */
    fun hasNewsSince(known: Long): Boolean =
        isListed && (known < firstRevision || batches.lastOrNull()?.let { it.revision > known } == true)

    /** What a router that knows all up to [known] lacks; null if it knows as much as this one. */
    fun since(known: Long): RelayedKind? =
        when {
            !isListed || known >= revision -> null
            known < firstRevision -> RelayedKind(kind, revision, objects.values.toList(), emptyList())
            else -> RelayedKind(kind, revision, null, batches.filter { it.revision > known }.flatMap { it.changes })
        }

    private companion object {
        /** More than change while a router is away for some seconds; a router that lacks more gets the whole list. */
        const val MAX_CHANGES = 512
    }
}
