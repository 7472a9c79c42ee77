package dev.almondhaven.decision.billing

import dev.almondhaven.billing.BatchName
import dev.almondhaven.billing.BillingObject
import dev.almondhaven.billing.BillingRecord
import dev.almondhaven.billing.SealedBatch
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.RequestId
import dev.almondhaven.model.RouterId
import java.util.Random

/** A rule that a billing simulation leaves out, to show that the properties rest on it. */
internal enum class OmittedBilling { NOTHING, COPY_WITH_PEER, RESEND, ONE_NAME_PER_BATCH }

/**
 * Routers that bill requests while messages are lost, doubled and reordered, the platform is down or loses answers,
 * and at most one router at a time is lost.
 */
internal class BillingSimulation(
    seed: Long,
    private val omitted: OmittedBilling = OmittedBilling.NOTHING,
) {
    private val random = Random(seed)
    private val routers = ArrayList<SimulatedRouter>()
    private val messages = ArrayList<() -> Unit>()
    private val objects = LinkedHashMap<String, BillingObject>()
    private val owed = HashSet<RequestId>()
    private var now = 0L
    private var started = 0
    private var requests = 0
    private var down = false
    private var lastLossAt = -QUIET_NANOS

    /** Routers lost. */
    var losses = 0
        private set

    /** Requests that are owed but not billed. */
    val unbilled get() = owed - statement.records.map { it.request }.toSet()

    /** What the platform holds adds up to this. */
    val statement get() = BillingStatement.of(objects.values.asSequence())

    private inner class SimulatedRouter {
        val id = RouterId("router-${started++}")
        val outbox = BillingOutbox(id)
        val copies = PeerBatchCopies()
        val waiting = LinkedHashMap<BatchName, SealedBatch>()

        /** Routers of which copies may be held. */
        val copyOf = HashSet<RouterId>()
        var alive = true
        private var renamed = 0

        fun bill() {
            outbox.add(BillingRecord(RequestId("request-${requests++}"), OrganisationId("roofers"), now), now)
        }

        fun tick() {
            outbox.seal(now, now / NANOS_PER_MILLI)
            val live = routers.map { it.id }.toSet()
            outbox.withoutCopy(live, 10).forEach { copyToPeer(it) }
            if (omitted != OmittedBilling.RESEND || now < QUIET_NANOS) {
                outbox.takeDue(now, 10).forEach { batch -> send { it.waiting[named(batch).name] = named(batch) } }
            }
            copies.takeOrphans(live, now).forEach { outbox.adopt(it, now) }
            if (copies.records == 0) copyOf.clear()
        }

        private fun hold(batch: SealedBatch) {
            copies.hold(batch)
            copyOf += batch.name.router
        }

        /** The records count as owed once the peer has its copy; until then they can be lost with their router. */
        private fun copyToPeer(batch: SealedBatch) {
            val peer = others().first()
            repeat(random.nextInt(3)) {
                messages += {
                    if (peer.alive && omitted != OmittedBilling.COPY_WITH_PEER) peer.hold(batch)
                    if (peer.alive) messages += { outbox.markCopied(batch.name, peer.id) }
                    if (peer.alive && alive) owed += batch.records.map { it.request }
                }
            }
        }

        private fun named(batch: SealedBatch): SealedBatch =
            if (omitted == OmittedBilling.ONE_NAME_PER_BATCH) {
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

    /** Runs [steps] random steps, then lets everything come to rest. */
    fun run(steps: Int = 1_000): BillingSimulation {
        repeat(3) { routers += SimulatedRouter() }
        repeat(steps) { step(disturb = true) }
        down = false
        repeat(steps * 2) { step(disturb = false) }
        return this
    }

    private fun step(disturb: Boolean) {
        // At rest time runs faster, so that the longest pauses before sending again pass many times.
        now += random.nextInt(if (disturb) 200 else 1_000) * NANOS_PER_MILLI
        val router = routers[random.nextInt(routers.size)]
        when (random.nextInt(100)) {
            in 0..1 -> if (disturb && settled()) lose(router)
            in 2..4 -> if (disturb) down = !down
            in 5..20 -> if (disturb) router.bill()
            in 21..50 -> router.tick()
            in 51..70 -> router.write()
            else -> repeat(DELIVERIES) { deliver() }
        }
    }

    private fun deliver() {
        if (messages.isNotEmpty()) messages.removeAt(random.nextInt(messages.size))()
    }

    /** Whether the last loss is over: its orphans are adopted, and every batch has its copy again. */
    private fun settled(): Boolean {
        val live = routers.map { it.id }.toSet()
        val orphaned = routers.any { holder -> holder.copyOf.any { it !in live } }
        return now - lastLossAt > QUIET_NANOS && !orphaned && routers.all { it.outbox.withoutCopy(live, 1).isEmpty() }
    }

    private fun lose(router: SimulatedRouter) {
        lastLossAt = now
        losses++
        router.alive = false
        routers -= router
        routers += SimulatedRouter()
    }

    private companion object {
        /** Messages of one step; fewer than are sent would let them pile up without end. */
        const val DELIVERIES = 10
        const val NANOS_PER_MILLI = 1_000_000L

        /** Time that a loss takes to settle before the next one. */
        const val QUIET_NANOS = 40_000 * NANOS_PER_MILLI
    }
}
