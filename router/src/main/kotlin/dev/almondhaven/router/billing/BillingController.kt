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
 * Delivers the billing records of this router to the platform. Records are collected in batches. A batch is copied to a
 * peer as soon as it is sealed, and is stored by the one router that writes for the failure domain. A batch never
 * changes once it is sealed, so a batch that is stored twice is billed once.
 */
internal class BillingController(
    settings: BillingSettings,
    objects: ObjectStore,
    private val clock: NanoClock,
    private val network: PeerNetwork,
    metrics: RouterMetrics,
) : AutoCloseable {
    private val outbox = BillingOutbox(network.self.id, OutboxLimits(maxRecords = settings.records))
    private val peerCopies = PeerBatchCopies(settings.records)
    private val maxCopiedRecords = settings.records
    private val requestersByBatch = ConcurrentHashMap<BatchName, Member>()
    private val releasedBatches = ArrayList<BatchName>()
    private val copiesInFlight = HashSet<BatchName>()
    private val writer = BillingWriter(BillingStore(objects), settings.writeInterval, settings.records, ::onStored)

    /** Only accessed by the thread of [actor]. */
    private var closing = false
    private val actor = ActorThread.start("billing", MAILBOX_CAPACITY, TICK_INTERVAL, ::tick, ::handle)

    init {
        network.handlers.register(HOLD_PATH, ::handleHold)
        network.handlers.register(STORE_PATH, ::handleStore)
        network.handlers.register(STORED_PATH, ::handleStored)
        network.handlers.register(HAND_OVER_PATH, ::handleHandOver)
        metrics.registerGauge(
            "almondhaven_billing_records_held",
            "Billing records that the platform doesn't hold yet.",
        ) {
            outbox.held.toDouble()
        }
        metrics.registerGauge("almondhaven_billing_copies_held", "Copies of other routers' billing records.") {
            peerCopies.records.toDouble()
        }
        metrics.registerGauge(
            "almondhaven_billing_records_overflowed",
            "Billing records that were lost for want of room.",
        ) {
            (outbox.overflowed + actor.rejected).toDouble()
        }
    }

    /** Queues [record] for delivery; never blocks. A record that finds the mailbox full is logged and lost. */
    fun offer(record: BillingRecord) {
        if (!actor.offer(BillingMessage.RecordAdded(record))) logOverflow(record)
    }

    private fun logOverflow(record: BillingRecord): Unit =
        LogEvent.BILLING_OVERFLOWED.log(logger) { "request=${record.request} organisation=${record.organisation}" }

    private fun handle(message: BillingMessage) {
        when (message) {
            is BillingMessage.RecordAdded -> addRecord(message.record)
            is BillingMessage.BatchesStored -> markStored(message)
            is BillingMessage.CopiesChanged -> holdCopies(message.request)
            is BillingMessage.CopyCompleted -> completeCopy(message)
            BillingMessage.Flush -> flush()
            is BillingMessage.HandOverReceived -> message.batches.forEach(::takeOver)
            is BillingMessage.HandOverRequested -> handOver(message)
        }
    }

    private fun addRecord(record: BillingRecord) {
        if (!outbox.add(record, clock.nanos())) return logOverflow(record)
        copyAtOnce()
    }

    /** Copies the open records to a peer unless a copy is on its way, which takes them along when it has arrived. */
    private fun copyAtOnce() {
        if (copiesInFlight.isNotEmpty() || copyPeerOrNull() == null) return
        seal(force = false)
        copyToPeer()
    }

    private fun markStored(message: BillingMessage.BatchesStored) {
        message.names.forEach { if (outbox.markStored(it)) releasedBatches += it }
        outbox.resetResendDelays(clock.nanos())
    }

    /**
     * Makes this router store all its batches itself, since the router that writes for the failure domain may be
     * stopping too.
     */
    private fun flush() {
        closing = true
        seal(force = true)
        outbox.resendAllNow(clock.nanos())
    }

    private fun holdCopies(request: HoldCopiesRequest) {
        peerCopies.release(request.released)
        request.batches.forEach { peerCopies.hold(it) }
    }

    private fun tick() {
        seal(force = false)
        copyToPeer()
        outbox.takeDue(clock.nanos(), BATCHES_PER_MESSAGE).forEach(::sendToWriter)
        peerCopies.takeOrphans(liveRouters(), clock.nanos()).forEach(::takeOver)
    }

    private fun liveRouters(): Set<RouterId> =
        network.view.members
            .map(Member::id)
            .toSet()

    private fun takeOver(batch: SealedBatch) {
        LogEvent.BILLING_ORPHANS_TAKEN.log(logger) { "batch=${batch.name} records=${batch.records.size}" }
        outbox.adopt(batch, clock.nanos())
    }

    /** Hands the batches that the platform doesn't hold over to a peer, since this router is about to stop. */
    private fun handOver(request: BillingMessage.HandOverRequested) {
        val batches = outbox.unstored()
        val peer = copyPeerOrNull()
        if (peer == null) {
            request.done.complete(batches.isEmpty())
            return
        }
        val requests =
            batches.chunked(BATCHES_PER_MESSAGE).map { chunk ->
                post(peer, HAND_OVER_PATH, HandOverRequest(chunk), HandOverRequest.serializer())
            }
        CompletableFuture.allOf(*requests.toTypedArray()).whenComplete { _, error ->
            request.done.complete(error == null && requests.all { isAccepted(it.join()) })
        }
    }

    private fun seal(force: Boolean) {
        val copyOnItsWay = copiesInFlight.isNotEmpty() || copyPeerOrNull() == null

        fun next() = outbox.seal(clock.nanos(), System.currentTimeMillis(), force, copyOnItsWay)
        var batch = next()
        while (batch != null) batch = next()
    }

    /** Sends a peer copies of the batches that no live router holds, and the names of the copies that it may drop. */
    private fun copyToPeer() {
        val peer = copyPeerOrNull() ?: return
        val batches = outbox.withoutCopy(liveRouters(), BATCHES_PER_MESSAGE).filter { copiesInFlight.add(it.name) }
        if (batches.isEmpty() && releasedBatches.size < RELEASES_PER_MESSAGE) return
        val request = HoldCopiesRequest(batches, releasedBatches.toList())
        releasedBatches.clear()
        post(peer, HOLD_PATH, request, HoldCopiesRequest.serializer()).whenComplete { response, _ ->
            actor.offer(BillingMessage.CopyCompleted(batches.map { it.name }, peer.id.takeIf { isAccepted(response) }))
        }
    }

    private fun copyPeerOrNull(): Member? {
        val others = network.view.members.filter { it.id != network.self.id }
        return RendezvousHash.choose("billing-copies/${network.self.id}", others, 1) { it.id.value }.firstOrNull()
    }

    private fun completeCopy(message: BillingMessage.CopyCompleted) {
        copiesInFlight -= message.names.toSet()
        // After a failure the next tick tries again.
        val holder = message.holder ?: return
        message.names.forEach { outbox.markCopied(it, holder) }
        copyAtOnce()
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

    /** Notifies the routers that requested the storage of [names]; runs on the writer's thread. */
    private fun onStored(names: List<BatchName>) {
        actor.offer(BillingMessage.BatchesStored(names))
        actor.offer(BillingMessage.CopiesChanged(HoldCopiesRequest(released = names)))
        val byRequester = names.mapNotNull { name -> requestersByBatch.remove(name)?.let { it to name } }
        byRequester.groupBy({ it.first }, { it.second }).forEach { (requester, requested) ->
            post(requester, STORED_PATH, BatchesStoredNotice(requested), BatchesStoredNotice.serializer())
        }
    }

    private fun <M> post(
        to: Member,
        path: String,
        message: M,
        serializer: KSerializer<M>,
    ): CompletableFuture<Either<PeerError, String>> =
        network.transport.post(to, path, PeerProtocol.json.encodeToString(serializer, message))

    private fun isAccepted(response: Either<PeerError, String>?): Boolean {
        val text = response?.getOrNull() ?: return false
        return PeerProtocol.json.decodeFromString(BillingAcknowledgement.serializer(), text).accepted
    }

    private fun handleHold(body: String): String {
        val message = PeerProtocol.json.decodeFromString(HoldCopiesRequest.serializer(), body)
        val hasRoom = peerCopies.records + message.batches.sumOf { it.records.size } <= maxCopiedRecords
        return acknowledgement(hasRoom && actor.offer(BillingMessage.CopiesChanged(message)))
    }

    private fun handleStore(body: String): String {
        val message = PeerProtocol.json.decodeFromString(StoreBatchRequest.serializer(), body)
        // A requester that is forgotten sends its batch again.
        if (requestersByBatch.size > MAX_REQUESTERS) requestersByBatch.clear()
        requestersByBatch[message.batch.name] = message.from
        val accepted = writer.offer(message.batch)
        if (!accepted) requestersByBatch.remove(message.batch.name)
        return acknowledgement(accepted)
    }

    private fun handleStored(body: String): String {
        val message = PeerProtocol.json.decodeFromString(BatchesStoredNotice.serializer(), body)
        return acknowledgement(actor.offer(BillingMessage.BatchesStored(message.names)))
    }

    private fun handleHandOver(body: String): String {
        val message = PeerProtocol.json.decodeFromString(HandOverRequest.serializer(), body)
        return acknowledgement(actor.offer(BillingMessage.HandOverReceived(message.batches)))
    }

    private fun acknowledgement(accepted: Boolean): String =
        PeerProtocol.json.encodeToString(BillingAcknowledgement.serializer(), BillingAcknowledgement(accepted))

    /** Seals the open records, waits up to [CLOSE_TIMEOUT] until all are stored, and hands the rest over to a peer. */
    override fun close() {
        actor.offer(BillingMessage.Flush)
        val closeDeadline = clock.nanos() + CLOSE_TIMEOUT.inWholeNanoseconds
        do {
            TimeUnit.MILLISECONDS.sleep(TICK_INTERVAL.inWholeMilliseconds)
        } while (hasPendingRecords() && clock.nanos() - closeDeadline < 0)
        if (outbox.held > 0) handOverRemaining()
        actor.stop()
        writer.close()
    }

    private fun handOverRemaining() {
        val records = outbox.held
        val done = CompletableFuture<Boolean>()
        actor.offer(BillingMessage.HandOverRequested(done))
        val taken = done.completeOnTimeout(false, HAND_OVER_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS).join()
        LogEvent.BILLING_LEFT_UNSTORED.log(logger) { "records=$records takenByPeer=$taken" }
    }

    private fun hasPendingRecords(): Boolean = outbox.held > 0 || actor.waiting > 0 || writer.unwritten > 0

    private companion object {
        const val HOLD_PATH = "billing/hold"
        const val STORE_PATH = "billing/store"
        const val STORED_PATH = "billing/stored"
        const val HAND_OVER_PATH = "billing/hand-over"
        const val MAILBOX_CAPACITY = 16_384
        const val BATCHES_PER_MESSAGE = 64
        const val RELEASES_PER_MESSAGE = 16
        const val MAX_REQUESTERS = 20_000
        val TICK_INTERVAL = 50.milliseconds
        val CLOSE_TIMEOUT = 3_000.milliseconds

        /** A peer only keeps the batches in memory, so it responds within a few round trips. */
        val HAND_OVER_TIMEOUT = 1_000.milliseconds
    }
}
