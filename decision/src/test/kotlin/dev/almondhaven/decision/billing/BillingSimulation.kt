package dev.almondhaven.decision.billing

import dev.almondhaven.billing.BatchName
import dev.almondhaven.billing.BillingObject
import dev.almondhaven.billing.BillingRecord
import dev.almondhaven.billing.SealedBatch
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.RequestId
import dev.almondhaven.model.RouterId
import java.util.Random

/** A rule that a billing simulation leaves out to show that the properties depend on it. */
internal enum class OmittedBillingRule { NONE, COPY_ON_PEER, RESEND, STABLE_NAMES }

/**
 * Simulates routers that bill requests while messages are lost, duplicated and reordered, the platform is down or loses
 * responses, and at most one router at a time fails.
 */
internal class BillingSimulation(
    seed: Long,
    private val omitted: OmittedBillingRule = OmittedBillingRule.NONE,
) {
    private val random = Random(seed)
    private val routers = ArrayList<SimulatedRouter>()
    private val messages = ArrayList<() -> Unit>()
    private val objects = LinkedHashMap<String, BillingObject>()
    private val billable = HashSet<RequestId>()
    private var now = 0L
    private var started = 0
    private var requests = 0
    private var down = false
    private var lastFailureAt = -MIN_FAILURE_INTERVAL_NANOS

    /** Number of routers that failed. */
    var failures = 0
        private set

    /** Requests that must be billed but are not. */
    val unbilled get() = billable - statement.records.map { it.request }.toSet()

    /** The statement of the objects on the platform. */
    val statement get() = BillingStatement.of(objects.values.asSequence())

    private inner class SimulatedRouter {
        val id = RouterId("router-${started++}")
        val outbox = BillingOutbox(id)
        val copies = PeerBatchCopies()
        val waiting = LinkedHashMap<BatchName, SealedBatch>()

        /** Routers whose batches may have copies here. */
        val copiedRouters = HashSet<RouterId>()
        var alive = true
        private var renamed = 0

        fun bill() {
            outbox.add(BillingRecord(RequestId("request-${requests++}"), OrganisationId("roofers"), now), now)
        }

        fun tick() {
            outbox.seal(now, now / NANOS_PER_MILLI)
            val live = routers.map { it.id }.toSet()
            outbox.withoutCopy(live, 10).forEach { copyToPeer(it) }
            if (omitted != OmittedBillingRule.RESEND || now < MIN_FAILURE_INTERVAL_NANOS) {
                outbox.takeDue(now, 10).forEach { batch -> send { it.waiting[named(batch).name] = named(batch) } }
            }
            copies.takeOrphans(live, now).forEach { outbox.adopt(it, now) }
            if (copies.records == 0) copiedRouters.clear()
        }

        private fun hold(batch: SealedBatch) {
            copies.hold(batch)
            copiedRouters += batch.name.router
        }

        /** The records must be billed once the peer has its copy; until then they can be lost with their router. */
        private fun copyToPeer(batch: SealedBatch) {
            val peer = others().first()
            repeat(random.nextInt(3)) {
                messages += {
                    if (peer.alive && omitted != OmittedBillingRule.COPY_ON_PEER) peer.hold(batch)
                    if (peer.alive) messages += { outbox.markCopied(batch.name, peer.id) }
                    if (peer.alive && alive) billable += batch.records.map { it.request }
                }
            }
        }

        private fun named(batch: SealedBatch): SealedBatch =
            if (omitted == OmittedBillingRule.STABLE_NAMES) {
                batch.copy(
                    name = BatchName(id, 1_000_000L + renamed++),
                    records = batch.records.map { it.copy(request = RequestId("${it.request}-$renamed")) },
                )
            } else {
                batch
            }

        private fun others() = routers.filter { it !== this }

        private fun send(action: (SimulatedRouter) -> Unit) {
            val to = routers[random.nextInt(routers.size)]
            repeat(random.nextInt(3)) { messages += { if (to.alive) action(to) } }
        }

        fun write() {
            if (waiting.isEmpty() || down) return
            val batches = waiting.values.take(1 + random.nextInt(4))
            objects.putIfAbsent(batches.joinToString { "${it.name}" }, BillingObject(batches))
            if (random.nextInt(4) == 0) return
            batches.forEach { batch ->
                waiting.remove(batch.name)
                copies.release(listOf(batch.name))
                if (random.nextInt(4) > 0) messages += { routers.toList().forEach { it.stored(batch.name) } }
            }
        }

        private fun stored(name: BatchName) {
            if (!alive || !outbox.markStored(name)) return
            others().forEach { it.copies.release(listOf(name)) }
        }
    }

    /** Runs [steps] random steps with faults, then twice as many without them. */
    fun run(steps: Int = 1_000): BillingSimulation {
        repeat(3) { routers += SimulatedRouter() }
        repeat(steps) { step(withFaults = true) }
        down = false
        repeat(steps * 2) { step(withFaults = false) }
        return this
    }

    private fun step(withFaults: Boolean) {
        // Without faults time runs faster, so that the longest resend delay passes many times.
        now += random.nextInt(if (withFaults) 200 else 1_000) * NANOS_PER_MILLI
        val router = routers[random.nextInt(routers.size)]
        when (random.nextInt(100)) {
            in 0..1 -> if (withFaults && recovered()) fail(router)
            in 2..4 -> if (withFaults) down = !down
            in 5..20 -> if (withFaults) router.bill()
            in 21..50 -> router.tick()
            in 51..70 -> router.write()
            else -> repeat(DELIVERIES_PER_STEP) { deliverRandomMessage() }
        }
    }

    private fun deliverRandomMessage() {
        if (messages.isNotEmpty()) messages.removeAt(random.nextInt(messages.size))()
    }

    /** Whether the fleet has recovered from the last failure: orphans are adopted and every batch has a copy again. */
    private fun recovered(): Boolean {
        val live = routers.map { it.id }.toSet()
        val orphaned = routers.any { holder -> holder.copiedRouters.any { it !in live } }
        return now - lastFailureAt > MIN_FAILURE_INTERVAL_NANOS && !orphaned &&
            routers.all { it.outbox.withoutCopy(live, 1).isEmpty() }
    }

    private fun fail(router: SimulatedRouter) {
        lastFailureAt = now
        failures++
        router.alive = false
        routers -= router
        routers += SimulatedRouter()
    }

    private companion object {
        /** Messages delivered in one step; at fewer than are sent they would accumulate without bound. */
        const val DELIVERIES_PER_STEP = 10
        const val NANOS_PER_MILLI = 1_000_000L

        /** Least time between two failures, so that the fleet can recover from the first. */
        const val MIN_FAILURE_INTERVAL_NANOS = 40_000 * NANOS_PER_MILLI
    }
}
