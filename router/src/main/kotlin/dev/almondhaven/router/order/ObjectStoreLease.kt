package dev.almondhaven.router.order

import arrow.core.Either
import dev.almondhaven.decision.lease.Lease
import dev.almondhaven.decision.lease.LeaseCall
import dev.almondhaven.decision.lease.LeaseRecord
import dev.almondhaven.decision.lease.LeaseSettings
import dev.almondhaven.decision.lease.VersionedLease
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.RouterId
import dev.almondhaven.peer.PeerProtocol
import dev.almondhaven.store.ObjectKey
import dev.almondhaven.store.ObjectStore
import dev.almondhaven.store.ObjectVersion
import dev.almondhaven.store.PlatformError
import dev.almondhaven.store.WriteCondition
import java.util.UUID

/** A [Lease] stored in one object of the platform. Calls to the platform block the calling thread. */
internal class ObjectStoreLease(
    private val key: ObjectKey,
    self: RouterId,
    settings: LeaseSettings,
    private val objects: ObjectStore,
    private val clock: NanoClock,
) {
    private val lease = Lease(self, settings) { UUID.randomUUID().toString() }

    /** The fencing token of the lease; null if this router doesn't hold it, or holds it too close to its expiry. */
    fun fencingTokenOrNull(): Long? = lease.fencingToken(clock.nanos())

    /**
     * Makes the next call that acquiring or renewing the lease requires, if one is due; [wanted] tells whether this
     * router should hold the lease.
     */
    fun advance(wanted: Boolean) {
        when (val call = lease.next(clock.nanos(), wanted)) {
            null -> Unit
            LeaseCall.Read -> read()
            is LeaseCall.Write -> write(call)
        }
    }

    private fun read() {
        val found = objects.get(key)
        found.fold({ lease.onFailure() }) { stored ->
            val record = stored?.let { PeerProtocol.json.decodeFromString(LeaseRecord.serializer(), it.value) }
            lease.onRead(clock.nanos(), record?.let { VersionedLease(it, stored.version.value) })
        }
    }

    private fun write(call: LeaseCall.Write) {
        val condition = call.version?.let { WriteCondition.AtVersion(ObjectVersion(it)) } ?: WriteCondition.Absent
        val text = PeerProtocol.json.encodeToString(LeaseRecord.serializer(), call.record)
        when (val result = objects.put(key, text, condition)) {
            is Either.Right -> {
                lease.onWritten(clock.nanos(), result.value.value)
            }

            is Either.Left -> {
                if (result.value == PlatformError.ConditionFailed) lease.onConflict() else lease.onFailure()
            }
        }
    }
}
