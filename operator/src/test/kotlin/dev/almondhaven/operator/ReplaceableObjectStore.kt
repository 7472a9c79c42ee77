package dev.almondhaven.operator

import dev.almondhaven.store.ObjectKey
import dev.almondhaven.store.ObjectStore
import dev.almondhaven.store.ObjectVersion
import dev.almondhaven.store.Revision
import dev.almondhaven.store.WriteCondition
import kotlin.time.Duration

/** Delegates each call to the store that [current] returns at the time of the call. */
internal class ReplaceableObjectStore(
    private val current: () -> ObjectStore,
) : ObjectStore {
    override fun get(key: ObjectKey) = current().get(key)

    override fun put(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
    ) = current().put(key, value, condition)

    override fun delete(
        key: ObjectKey,
        version: ObjectVersion,
    ) = current().delete(key, version)

    override fun list(
        prefix: String,
        after: ObjectKey?,
        limit: Int,
    ) = current().list(prefix, after, limit)

    override fun watch(
        prefix: String,
        after: Revision,
        wait: Duration,
    ) = current().watch(prefix, after, wait)
}
