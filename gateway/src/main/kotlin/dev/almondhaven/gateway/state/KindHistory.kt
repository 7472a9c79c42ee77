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

    fun add(
        changes: List<StoreChange>,
        revision: Long,
    ) {
        advance(revision)
        if (changes.isEmpty()) return
        changes.forEach { if (it.removed) objects.remove(it.entry.name) else objects[it.entry.name] = it.entry }
        batches.addLast(Batch(this.revision, changes))
        while (batches.sumOf { it.changes.size } > MAX_CHANGES) firstRevision = batches.removeFirst().revision
    }

    /** Applies what another router knows more. */
    fun apply(relayed: RelayedKind) {
        val list = relayed.list
        if (list == null) add(relayed.changes, relayed.revision) else replace(list, relayed.revision)
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
