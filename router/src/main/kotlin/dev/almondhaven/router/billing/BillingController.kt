package dev.almondhaven.router.billing

import arrow.core.Either
import dev.almondhaven.billing.BatchName
import dev.almondhaven.billing.BillingRecord
import dev.almondhaven.billing.SealedBatch
import dev.almondhaven.decision.billing.BillingOutbox
import dev.almondhaven.decision.billing.OutboxLimits
import dev.almondhaven.decision.billing.PeerBatchCopies
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.decision.membership.RendezvousHash
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.RouterId
import dev.almondhaven.peer.PeerProtocol
import dev.almondhaven.router.RouterMetrics
import dev.almondhaven.router.controller.ActorThread
import dev.almondhaven.router.peer.PeerError
import dev.almondhaven.router.peer.PeerNetwork
import dev.almondhaven.router.settings.BillingSettings
import dev.almondhaven.store.BillingStore
import dev.almondhaven.store.ObjectStore
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.KSerializer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Brings the billing records of this router to the platform. Batches are copied to a peer as soon as they are sealed,
 * and stored by the one router that writes for the failure domain; whatever is stored twice is billed once, since a
 * batch never changes.
 */
internal class BillingController(
    settings: BillingSettings,
    objects: ObjectStore,
    private val clock: NanoClock,
    private val network: PeerNetwork,
    metrics: RouterMetrics,
) : AutoCloseable {
    private val outbox = BillingOutbox(network.self.id, OutboxLimits(maxRecords = settings.records))
    private val copies = PeerBatchCopies(settings.records)
    private val mostCopies = settings.records
    private val askedBy = ConcurrentHashMap<BatchName, Member>()
    private val released = ArrayList<BatchName>()
    private val asked = HashSet<BatchName>()
    private val writer = BillingWriter(BillingStore(objects), settings.writeInterval, settings.records, ::stored)

    /** Touched by the duty's thread only. */
    private var closing = false
    private val duty = ActorThread.start("billing", RING, TICK, ::tick, ::take)

    init {
        network.handlers.register(HOLD_PATH, ::answerHold)
        network.handlers.register(STORE_PATH, ::answerStore)
        network.handlers.register(STORED_PATH, ::answerStored)
        network.handlers.register(HAND_OVER_PATH, ::answerHandOver)
        metrics.registerGauge(
            "almondhaven_billing_records_held",
            "Billing records that the platform doesn't hold yet.",
        ) {
            outbox.held.toDouble()
        }
        metrics.registerGauge("almondhaven_billing_copies_held", "Copies of other routers' billing records.") {
            copies.records.toDouble()
        }
        metrics.registerGauge(
            "almondhaven_billing_records_overflowed",
            "Billing records that were lost for want of room.",
        ) {
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
            is BillingMessage.Stored -> stored(message)
            is BillingMessage.Held -> holdCopies(message.message)
            is BillingMessage.Copied -> copied(message)
            BillingMessage.Flush -> flush()
            is BillingMessage.HandedOver -> message.batches.forEach(::adopt)
            is BillingMessage.HandOver -> handOver(message)
        }
    }

    private fun stored(message: BillingMessage.Stored) {
        message.names.forEach { if (outbox.markStored(it)) released += it }
        outbox.resetResendDelays(clock.nanos())
    }

    /** Stores everything by this router itself: the router that writes for the failure domain may be stopping too. */
    private fun flush() {
        closing = true
        seal(force = true)
        outbox.resendAllNow(clock.nanos())
    }

    private fun holdCopies(message: HoldCopiesRequest) {
        copies.release(message.released)
        message.batches.forEach { copies.hold(it) }
    }

    private fun tick() {
        seal(force = false)
        copyToPeer()
        outbox.takeDue(clock.nanos(), BATCHES_AT_ONCE).forEach(::sendToWriter)
        val live = live()
        copies.takeOrphans(live, clock.nanos()).forEach(::adopt)
    }

    private fun live(): Set<RouterId> =
        network.view.members
            .map(Member::id)
            .toSet()

    private fun adopt(batch: SealedBatch) {
        LogEvent.BILLING_ORPHANS_TAKEN.log(logger) { "batch=${batch.name} records=${batch.records.size}" }
        outbox.adopt(batch, clock.nanos())
    }

    /** Gives a peer what the platform doesn't hold: this router stops, and can't store it any longer. */
    private fun handOver(message: BillingMessage.HandOver) {
        val batches = outbox.unstored()
        val peer = peerForCopies()
        if (peer == null) {
            message.done.complete(batches.isEmpty())
            return
        }
        val parts =
            batches.chunked(BATCHES_AT_ONCE).map { part ->
                post(peer, HAND_OVER_PATH, HandOverRequest(part), HandOverRequest.serializer())
            }
        CompletableFuture.allOf(*parts.toTypedArray()).whenComplete { _, error ->
            message.done.complete(error == null && parts.all { accepted(it.join()) })
        }
    }

    private fun seal(force: Boolean) {
        var batch = outbox.seal(clock.nanos(), System.currentTimeMillis(), force)
        while (batch != null) batch = outbox.seal(clock.nanos(), System.currentTimeMillis(), force)
    }

    /** Sends a peer copies of what it doesn't hold, and tells it what it need not hold any longer. */
    private fun copyToPeer() {
        val peer = peerForCopies() ?: return
        val batches = outbox.withoutCopy(live(), BATCHES_AT_ONCE).filter { asked.add(it.name) }
        if (batches.isEmpty() && released.size < RELEASED_AT_ONCE) return
        val message = HoldCopiesRequest(batches, released.toList())
        released.clear()
        post(peer, HOLD_PATH, message, HoldCopiesRequest.serializer()).whenComplete { answer, _ ->
            duty.offer(BillingMessage.Copied(batches.map { it.name }, peer.id.takeIf { accepted(answer) }))
        }
    }

    private fun peerForCopies(): Member? {
        val others = network.view.members.filter { it.id != network.self.id }
        return RendezvousHash.choose("billing-copies/${network.self.id}", others, 1) { it.id.value }.firstOrNull()
    }

    private fun copied(message: BillingMessage.Copied) {
        asked -= message.names.toSet()
        message.holder?.let { holder -> message.names.forEach { outbox.markCopied(it, holder) } }
    }

    private fun sendToWriter(batch: SealedBatch) {
        val members = network.view.membersOf(network.self.failureDomain)
        val chosen = RendezvousHash.choose("billing-writer", members, 1) { it.id.value }.firstOrNull()
        if (closing || chosen == null || chosen.id == network.self.id) {
            writer.offer(batch)
        } else {
            post(chosen, STORE_PATH, StoreBatchRequest(network.self, batch), StoreBatchRequest.serializer())
        }
    }

    /** Runs on the writer's thread. */
    private fun stored(names: List<BatchName>) {
        duty.offer(BillingMessage.Stored(names))
        duty.offer(BillingMessage.Held(HoldCopiesRequest(released = names)))
        val byAsker = names.mapNotNull { name -> askedBy.remove(name)?.let { it to name } }
        byAsker.groupBy({ it.first }, { it.second }).forEach { (asker, theirs) ->
            post(asker, STORED_PATH, BatchesStoredNotice(theirs), BatchesStoredNotice.serializer())
        }
    }

    private fun <M> post(
        to: Member,
        path: String,
        message: M,
        serializer: KSerializer<M>,
    ): CompletableFuture<Either<PeerError, String>> =
        network.transport.post(to, path, PeerProtocol.json.encodeToString(serializer, message))

    private fun accepted(answer: Either<PeerError, String>?): Boolean {
        val text = answer?.getOrNull() ?: return false
        return PeerProtocol.json.decodeFromString(BillingAcknowledgement.serializer(), text).accepted
    }

    private fun answerHold(body: String): String {
        val message = PeerProtocol.json.decodeFromString(HoldCopiesRequest.serializer(), body)
        val room = copies.records + message.batches.sumOf { it.records.size } <= mostCopies
        return accepted(room && duty.offer(BillingMessage.Held(message)))
    }

    private fun answerStore(body: String): String {
        val message = PeerProtocol.json.decodeFromString(StoreBatchRequest.serializer(), body)
        // An asker that is forgotten sends its batch again.
        if (askedBy.size > MOST_ASKERS) askedBy.clear()
        askedBy[message.batch.name] = message.from
        val taken = writer.offer(message.batch)
        if (!taken) askedBy.remove(message.batch.name)
        return accepted(taken)
    }

    private fun answerStored(body: String): String {
        val message = PeerProtocol.json.decodeFromString(BatchesStoredNotice.serializer(), body)
        return accepted(duty.offer(BillingMessage.Stored(message.names)))
    }

    private fun answerHandOver(body: String): String {
        val message = PeerProtocol.json.decodeFromString(HandOverRequest.serializer(), body)
        return accepted(duty.offer(BillingMessage.HandedOver(message.batches)))
    }

    private fun accepted(taken: Boolean): String =
        PeerProtocol.json.encodeToString(BillingAcknowledgement.serializer(), BillingAcknowledgement(taken))

    /** Seals what is open, waits a while for the platform to hold everything, and hands a peer what is left. */
    override fun close() {
        duty.offer(BillingMessage.Flush)
        val end = clock.nanos() + CLOSE_PATIENCE.inWholeNanoseconds
        do {
            TimeUnit.MILLISECONDS.sleep(TICK.inWholeMilliseconds)
        } while (unsettled() && clock.nanos() - end < 0)
        if (outbox.held > 0) leave()
        duty.stop()
        writer.close()
    }

    private fun leave() {
        val records = outbox.held
        val done = CompletableFuture<Boolean>()
        duty.offer(BillingMessage.HandOver(done))
        val taken = done.completeOnTimeout(false, HAND_OVER_PATIENCE.inWholeMilliseconds, TimeUnit.MILLISECONDS).join()
        LogEvent.BILLING_LEFT_UNSTORED.log(logger) { "records=$records takenByPeer=$taken" }
    }

    private fun unsettled(): Boolean = outbox.held > 0 || duty.waiting > 0 || writer.unwritten > 0

    private companion object {
        const val HOLD_PATH = "billing/hold"
        const val STORE_PATH = "billing/store"
        const val STORED_PATH = "billing/stored"
        const val HAND_OVER_PATH = "billing/hand-over"
        const val RING = 16_384
        const val BATCHES_AT_ONCE = 64
        const val RELEASED_AT_ONCE = 16
        const val MOST_ASKERS = 20_000
        val TICK = 50.milliseconds
        val CLOSE_PATIENCE = 3_000.milliseconds

        /** A peer takes batches into memory; its answer takes a few round trips at most. */
        val HAND_OVER_PATIENCE = 1_000.milliseconds
    }
}
