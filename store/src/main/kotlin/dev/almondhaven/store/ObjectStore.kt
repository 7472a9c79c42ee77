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

/** Version of one object; the platform sets a new one at every write. */
@Serializable
@JvmInline
public value class ObjectVersion(
    public val value: Long,
)

/** Position in the platform's history of writes; watches resume from it. */
@Serializable
@JvmInline
public value class Revision(
    public val value: Long,
)

/** An object as the platform returned it. */
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

/** Why a call of the object API gave no result. */
public sealed interface PlatformError {
    /** The condition didn't hold; the write had no effect. */
    public data object ConditionFailed : PlatformError

    /** The call certainly had no effect. */
    public data class NotSent(
        public val reason: String,
    ) : PlatformError

    /** No answer came; a write may or may not have taken effect, now or later. */
    public data class NoAnswer(
        public val reason: String,
    ) : PlatformError

    /** The value is over the platform's limit; the write had no effect. */
    public data class ValueTooLarge(
        public val bytes: Int,
    ) : PlatformError

    /** The watch's revision is too old; read again and watch from the new revision. */
    public data object RevisionGone : PlatformError
}

/**
 * A page of a listing.
 *
 * @property revision position of the listing in the history of writes.
 * @property next key to continue after, or null at the end.
 */
@Serializable
public data class ObjectPage(
    public val objects: List<StoredObject>,
    public val revision: Revision,
    public val next: ObjectKey? = null,
)

/** A write that a watch reports; [version] is null when the object was deleted. */
@Serializable
public data class ObjectChange(
    public val key: ObjectKey,
    public val version: ObjectVersion?,
)

/** Changes since the watched revision, possibly none. */
@Serializable
public data class WatchResult(
    public val changes: List<ObjectChange>,
    public val revision: Revision,
)

/**
 * The platform's object API. Calls block until they have an answer or their deadline passes: make them on a duty
 * thread, never on an event loop. Every call counts against the platform's rate limit.
 */
public interface ObjectStore {
    /** The object at [key], or null when there is none. */
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

    /** Objects whose keys begin with [prefix], in order of keys, beginning behind [after]. */
    public fun list(
        prefix: String,
        after: ObjectKey? = null,
        limit: Int = DEFAULT_PAGE_SIZE,
    ): Either<PlatformError, ObjectPage>

    /** Waits up to [wait] for writes below [prefix] later than [after]. */
    public fun watch(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): Either<PlatformError, WatchResult>

    public companion object {
        /** Largest value the platform holds, in bytes. */
        public const val MAXIMUM_VALUE_BYTES: Int = 1_000_000

        /** Objects on a page of a listing unless the caller says otherwise. */
        public const val DEFAULT_PAGE_SIZE: Int = 100
    }
}
