package dev.almondhaven.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.TreeMap
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/** An in-memory object store with the platform's semantics, used by the platform's stand-in and by unit tests. */
public class InMemoryObjectStore : ObjectStore {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val objects = TreeMap<String, StoredObject>()
    private val history = ArrayDeque<RecordedChange>()
    private var revision = 0L

    private class RecordedChange(
        val revision: Long,
        val change: ObjectChange,
    )

    override fun get(key: ObjectKey): Either<PlatformError, StoredObject?> =
        lock.withLock { objects[key.value].right() }

    override fun put(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
    ): Either<PlatformError, ObjectVersion> =
        lock.withLock {
            val bytes = value.toByteArray().size
            if (bytes > ObjectStore.MAXIMUM_VALUE_BYTES) return PlatformError.ValueTooLarge(bytes).left()
            if (!holds(condition, objects[key.value])) return PlatformError.ConditionFailed.left()
            val version = ObjectVersion(revision + 1)
            objects[key.value] = StoredObject(key, version, value)
            record(ObjectChange(key, version))
            version.right()
        }

    override fun delete(
        key: ObjectKey,
        version: ObjectVersion,
    ): Either<PlatformError, Unit> =
        lock.withLock {
            if (objects[key.value]?.version != version) return PlatformError.ConditionFailed.left()
            objects.remove(key.value)
            record(ObjectChange(key, null))
            Unit.right()
        }

    override fun list(
        prefix: String,
        after: ObjectKey?,
        limit: Int,
    ): Either<PlatformError, ObjectPage> =
        lock.withLock {
            val start = maxOf(prefix, after?.value ?: prefix)
            val matching =
                objects
                    .tailMap(start, after == null)
                    .values
                    .asSequence()
                    .takeWhile { it.key.value.startsWith(prefix) }
                    .take(limit + 1)
                    .toList()
            val page = matching.take(limit)
            val next = if (matching.size > limit) page.last().key else null
            ObjectPage(page, Revision(revision), next).right()
        }

    override fun watch(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): Either<PlatformError, WatchResult> =
        lock.withLock {
            var remaining = wait.inWholeNanoseconds
            while (true) {
                if (after.value < oldestWatchableRevision() ||
                    after.value > revision
                ) {
                    return PlatformError.RevisionGone.left()
                }
                val changes = changesAfter(prefix, after)
                if (changes.isNotEmpty() || remaining <= 0) return WatchResult(changes, Revision(revision)).right()
                remaining = changed.awaitNanos(remaining)
            }
            @Suppress("UNREACHABLE_CODE")
            error("unreachable")
        }

    private fun changesAfter(
        prefix: String,
        after: Revision,
    ): List<ObjectChange> =
        history
            .filter {
                it.revision > after.value &&
                    it.change.key.value
                        .startsWith(prefix)
            }.map { it.change }

    private fun oldestWatchableRevision(): Long = if (history.isEmpty()) revision else history.first().revision - 1

    private fun record(change: ObjectChange) {
        revision++
        history.addLast(RecordedChange(revision, change))
        if (history.size > MAX_HISTORY_CHANGES) history.removeFirst()
        changed.signalAll()
    }

    private fun holds(
        condition: WriteCondition,
        current: StoredObject?,
    ): Boolean =
        when (condition) {
            WriteCondition.Absent -> current == null
            is WriteCondition.AtVersion -> current?.version == condition.version
        }

    private companion object {
        const val MAX_HISTORY_CHANGES = 10_000
    }
}
