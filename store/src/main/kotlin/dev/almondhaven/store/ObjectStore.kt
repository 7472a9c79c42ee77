package dev.almondhaven.store

import arrow.core.Either
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Name of an object in the platform's object API, for example `configuration/head`. */
@Serializable
@JvmInline
public value class ObjectKey(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Version of one object; every write assigns a new one. */
@Serializable
@JvmInline
public value class ObjectVersion(
    public val value: Long,
)

/** Position in the platform's history of writes, from which a watch can resume. */
@Serializable
@JvmInline
public value class Revision(
    public val value: Long,
)

/** An object with its value and version at the time of the read. */
@Serializable
public data class StoredObject(
    public val key: ObjectKey,
    public val version: ObjectVersion,
    public val value: String,
)

/** What must hold for a write to take effect. */
public sealed interface WriteCondition {
    /** The object doesn't exist yet. */
    public data object Absent : WriteCondition

    /** The object is still at [version]. */
    public data class AtVersion(
        public val version: ObjectVersion,
    ) : WriteCondition
}

/** Why a call of the object API failed. */
public sealed interface PlatformError {
    /** The condition didn't hold; the write had no effect. */
    public data object ConditionFailed : PlatformError

    /** The platform did not process the call, so it certainly had no effect. */
    public data class NotSent(
        public val reason: String,
    ) : PlatformError

    /** No usable response was received; a write may have taken effect, may do so later, or never. */
    public data class NoAnswer(
        public val reason: String,
    ) : PlatformError

    /** The value exceeds [ObjectStore.MAXIMUM_VALUE_BYTES]; the write had no effect. */
    public data class ValueTooLarge(
        public val bytes: Int,
    ) : PlatformError

    /** The platform no longer has the history after the watch's revision: list again and watch from the new one. */
    public data object RevisionGone : PlatformError
}

/**
 * A page of a listing.
 *
 * @property revision revision at which the page was read; a watch can start from it.
 * @property next value of `after` for the next page, or null on the last page.
 */
@Serializable
public data class ObjectPage(
    public val objects: List<StoredObject>,
    public val revision: Revision,
    public val next: ObjectKey? = null,
)

/** A write or deletion reported by a watch; [version] is null when the object was deleted. */
@Serializable
public data class ObjectChange(
    public val key: ObjectKey,
    public val version: ObjectVersion?,
)

/** The changes since the watched revision, possibly none, and the [revision] to watch from next. */
@Serializable
public data class WatchResult(
    public val changes: List<ObjectChange>,
    public val revision: Revision,
)

/**
 * The platform's object API. Calls block until a response arrives or their deadline passes, so make them on a thread
 * that may block, never on an event loop. Every call counts against the platform's rate limit.
 */
public interface ObjectStore {
    /** Returns the object at [key], or null if there is none. */
    public fun get(key: ObjectKey): Either<PlatformError, StoredObject?>

    /** Writes [value] at [key] if [condition] holds; returns the new version. */
    public fun put(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
    ): Either<PlatformError, ObjectVersion>

    /** Deletes the object at [key] if it is still at [version]. */
    public fun delete(
        key: ObjectKey,
        version: ObjectVersion,
    ): Either<PlatformError, Unit>

    /** Lists up to [limit] objects whose keys start with [prefix], in key order, starting after [after]. */
    public fun list(
        prefix: String,
        after: ObjectKey? = null,
        limit: Int = DEFAULT_PAGE_SIZE,
    ): Either<PlatformError, ObjectPage>

    /** Waits up to [wait] for changes to keys that start with [prefix], later than revision [after]. */
    public fun watch(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): Either<PlatformError, WatchResult>

    public companion object {
        /** Maximum size of a value in bytes. */
        public const val MAXIMUM_VALUE_BYTES: Int = 1_000_000

        /** Default number of objects on a page of a listing. */
        public const val DEFAULT_PAGE_SIZE: Int = 100
    }
}
