package dev.almondhaven.router.billing

import dev.almondhaven.billing.BatchName
import dev.almondhaven.billing.BillingRecord
import dev.almondhaven.billing.SealedBatch
import dev.almondhaven.decision.billing.BillingOutbox
import dev.almondhaven.decision.billing.HeldCopies
import dev.almondhaven.decision.billing.OutboxLimits
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.decision.membership.RendezvousHash
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.peer.PeerProtocol
import dev.almondhaven.platform.BillingStore
import dev.almondhaven.platform.ObjectStore
import dev.almondhaven.router.RouterMetrics
import dev.almondhaven.router.controller.DutyThread
import dev.almondhaven.router.peer.PeerNetwork
import dev.almondhaven.router.settings.BillingSettings
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.KSerializer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Brings the billing records of this router to the platform. Batches are copied to a peer as soon as they are sealed,
 * and stored by the one router that writes for the failure domain; whatever is stored twice is billed once, since a
 * batch never changes.
 */
internal class Billing(
    settings: BillingSettings,
    objects: ObjectStore,
    private val clock: NanoClock,
    private val network: PeerNetwork,
    metrics: RouterMetrics,
) : AutoCloseable {
    private val outbox = BillingOutbox(network.self.id, OutboxLimits(records = settings.records))
    private val copies = HeldCopies(settings.records)
    private val askedBy = ConcurrentHashMap<BatchName, Member>()
    private val released = ArrayList<BatchName>()
    private var orphansAt = clock.nanos()
    private val writer = BillingWriter(BillingStore(objects), settings.writeInterval, settings.records, ::stored)
    private val duty = DutyThread.start("billing", RING, TICK, ::tick, ::take)

    init {
        network.handlers.register(HOLD_PATH, ::answerHold)
        network.handlers.register(STORE_PATH, ::answerStore)
        network.handlers.register(STORED_PATH, ::answerStored)
        metrics.gauge("almondhaven_billing_records_held", "Billing records that the platform doesn't hold yet.") {
            outbox.held.toDouble()
        }
        metrics.gauge("almondhaven_billing_copies_held", "Copies of other routers' billing records.") {
            copies.records.toDouble()
        }
        metrics.gauge("almondhaven_billing_records_overflowed", "Billing records that were lost for want of room.") {
            (outbox.overflowed + duty.rejected).toDouble()
        }
    }

    /** Takes a record; never blocks. */
    fun offer(record: BillingRecord) {
        if (!duty.offer(BillingMessage.Ended(record))) overflowed(record)
    }

    private fun overflowed(record: BillingRecord): Unit =
        LogEvent.BILLING_OVERFLOWED.log(logger) { "request=${record.request} organisation=${record.organisation}" }

    private fun take(message: BillingMessage) {
        when (message) {
            is BillingMessage.Ended -> if (!outbox.add(message.record, clock.nanos())) overflowed(message.record)
            is BillingMessage.Stored -> message.names.forEach { if (outbox.stored(it)) released += it }
            is BillingMessage.Held -> holdCopy(message.message)
            BillingMessage.Flush -> seal(force = true)
        }
    }

    private fun holdCopy(message: HoldCopy) {
        copies.release(message.released)
        message.batch?.let { copies.hold(it) }
    }

    private fun tick() {
        seal(force = false)
        outbox.due(clock.nanos(), BATCHES_AT_ONCE).forEach(::sendToWriter)
        storeOrphans()
    }

    private fun seal(force: Boolean) {
        var batch = outbox.seal(clock.nanos(), System.currentTimeMillis(), force)
        while (batch != null) {
            copyToPeer(batch)
            batch = outbox.seal(clock.nanos(), System.currentTimeMillis(), force)
        }
        if (released.size >= RELEASED_AT_ONCE) copyToPeer(null)
    }

    private fun copyToPeer(batch: SealedBatch?) {
        val peer = others(network.view.members).firstOrNull() ?: return
        val message = HoldCopy(batch, released.toList())
        released.clear()
        post(peer, HOLD_PATH, message, HoldCopy.serializer())
    }

    /** The other routers in the order in which this one asks them to hold copies. */
    private fun others(members: List<Member>): List<Member> {
        val candidates = members.filter { it.id != network.self.id }
        return RendezvousHash.choose("billing-copies/${network.self.id}", candidates, 1) { it.id.value }
    }

    private fun sendToWriter(batch: SealedBatch) {
        val members = network.view.membersOf(network.self.failureDomain)
        val chosen = RendezvousHash.choose("billing-writer", members, 1) { it.id.value }.firstOrNull()
        if (chosen == null || chosen.id == network.self.id) {
            writer.offer(batch)
        } else {
            post(chosen, STORE_PATH, StoreBatch(network.self, batch), StoreBatch.serializer())
        }
    }

    /** Storing a copy more than once does no harm, so it is offered until its router's end is settled. */
    private fun storeOrphans() {
        if (clock.nanos() - orphansAt < 0) return
        orphansAt = clock.nanos() + ORPHAN_INTERVAL.inWholeNanoseconds
        val live =
            network.view.members
                .map(Member::id)
                .toSet()
        val orphans = copies.orphans(live, clock.nanos())
        if (orphans.isEmpty()) return
        LogEvent.BILLING_ORPHANS_TAKEN.log(logger) { "batches=${orphans.size}" }
        orphans.forEach { writer.offer(it) }
    }

    /** Runs on the writer's thread. */
    private fun stored(names: List<BatchName>) {
        duty.offer(BillingMessage.Stored(names))
        duty.offer(BillingMessage.Held(HoldCopy(released = names)))
        val byAsker = names.mapNotNull { name -> askedBy.remove(name)?.let { it to name } }
        byAsker.groupBy({ it.first }, { it.second }).forEach { (asker, theirs) ->
            post(asker, STORED_PATH, BatchesStored(theirs), BatchesStored.serializer())
        }
    }

    private fun <M> post(
        to: Member,
        path: String,
        message: M,
        serializer: KSerializer<M>,
    ) {
        network.transport.post(to, path, PeerProtocol.json.encodeToString(serializer, message))
    }

    private fun answerHold(body: String): String {
        val message = PeerProtocol.json.decodeFromString(HoldCopy.serializer(), body)
        return accepted(duty.offer(BillingMessage.Held(message)))
    }

    private fun answerStore(body: String): String {
        val message = PeerProtocol.json.decodeFromString(StoreBatch.serializer(), body)
        // An asker that is forgotten sends its batch again.
        if (askedBy.size > MOST_ASKERS) askedBy.clear()
        askedBy[message.batch.name] = message.from
        val taken = writer.offer(message.batch)
        if (!taken) askedBy.remove(message.batch.name)
        return accepted(taken)
    }

    private fun answerStored(body: String): String {
        val message = PeerProtocol.json.decodeFromString(BatchesStored.serializer(), body)
        return accepted(duty.offer(BillingMessage.Stored(message.names)))
    }

    private fun accepted(taken: Boolean): String =
        PeerProtocol.json.encodeToString(BillingAccepted.serializer(), BillingAccepted(taken))

    /** Seals what is open, and waits a while for the platform to hold everything. */
    override fun close() {
        duty.offer(BillingMessage.Flush)
        val end = clock.nanos() + CLOSE_PATIENCE.inWholeNanoseconds
        do {
            TimeUnit.MILLISECONDS.sleep(TICK.inWholeMilliseconds)
        } while ((outbox.held > 0 || duty.waiting > 0) && clock.nanos() - end < 0)
        if (outbox.held > 0) LogEvent.BILLING_LEFT_UNSTORED.log(logger) { "records=${outbox.held}" }
        duty.stop()
        writer.close()
    }

    private companion object {
        const val HOLD_PATH = "billing/hold"
        const val STORE_PATH = "billing/store"
        const val STORED_PATH = "billing/stored"
        const val RING = 16_384
        const val BATCHES_AT_ONCE = 64
        const val RELEASED_AT_ONCE = 16
        const val MOST_ASKERS = 20_000
        val TICK = 50.milliseconds
        val ORPHAN_INTERVAL = 5.seconds
        val CLOSE_PATIENCE = 3_000.milliseconds
    }
}
