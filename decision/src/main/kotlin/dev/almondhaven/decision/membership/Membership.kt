package dev.almondhaven.decision.membership

import dev.almondhaven.model.RouterId
import org.apache.commons.rng.UniformRandomProvider

/**
 * Tracks which routers are alive with the SWIM protocol. Every interval one other router is probed; if it doesn't
 * answer, it is probed indirectly through other routers, then suspected, and then declared dead unless it refutes the
 * suspicion by raising its incarnation. Updates are piggybacked on probes and their answers, so the cost for each
 * router doesn't grow with the fleet.
 *
 * Not safe for use by several threads. Times are nanoseconds of one monotonic clock.
 *
 * ```
 * val membership = Membership(self, MembershipSettings(), random, now)
 * membership.tick(now).forEach(::send)
 * ```
 */
public class Membership(
    private val self: Member,
    private val settings: MembershipSettings,
    private val random: UniformRandomProvider,
    now: Long,
) {
    private val table = MemberTable(self, settings)
    private val pendingProbes = HashMap<Long, PendingProbe>()
    private var probeOrder = ArrayDeque<Member>()
    private var contactAddresses: List<String> = emptyList()
    private var incarnation = 0L
    private var leaving = false
    private var lastProbeNumber = 0L
    private var roundNumber = 0L
    private var nextRoundAt = now
    private var lastTickAt = now
    private var pageCursor: RouterId? = null
    private var largestPeerViewSize = 1

    private class PendingProbe(
        val target: Member,
        val startedAt: Long,
        var indirectSent: Boolean = false,
    )

    /** The routers believed to be alive, suspected ones included. */
    public val view: FleetView get() = table.view()

    /** The suspected routers. */
    public val suspects: Set<RouterId> get() = table.suspects()

    /** Sets addresses at which to look for further routers: the seeds and the VM list, which may be outdated. */
    public fun setContactAddresses(addresses: List<String>) {
        contactAddresses = addresses.filter { it != self.peerAddress }
    }

    /** Advances time to [now] and returns the messages to send. Call it several times in a probe interval. */
    public fun tick(now: Long): List<MembershipAction> {
        val gap = now - lastTickAt
        lastTickAt = now
        if (gap > settings.pauseThreshold.inWholeNanoseconds) recoverFromPause(gap)
        val actions = mutableListOf<MembershipAction>()
        advanceProbes(now, actions)
        table.expire(now)
        if (now >= nextRoundAt && !leaving) {
            nextRoundAt = now + settings.probeInterval.inWholeNanoseconds
            startRound(now, actions)
        }
        return actions
    }

    private fun recoverFromPause(gap: Long) {
        pendingProbes.clear()
        table.extendSuspicions(gap)
    }

    private fun advanceProbes(
        now: Long,
        actions: MutableList<MembershipAction>,
    ) {
        pendingProbes.entries.removeIf { (_, probe) ->
            val failed = now - probe.startedAt >= settings.probeTimeout.inWholeNanoseconds
            if (failed) suspect(now, probe.target)
            failed
        }
        pendingProbes.forEach { (number, probe) ->
            val due = now - probe.startedAt >= settings.directTimeout.inWholeNanoseconds
            if (due && !probe.indirectSent) actions += indirectProbes(number, probe)
        }
    }

    private fun indirectProbes(
        number: Long,
        probe: PendingProbe,
    ): List<MembershipAction> {
        probe.indirectSent = true
        val helpers = table.others().filter { it.id != probe.target.id }
        return sample(helpers, settings.indirectProbes).map {
            MembershipAction.IndirectProbe(number, it, probe.target)
        }
    }

    private fun suspect(
        now: Long,
        target: Member,
    ) {
        val record = table.record(target.id) ?: return
        if (record.state == MemberState.ALIVE) table.merge(now, record.copy(state = MemberState.SUSPECT))
    }

    private fun startRound(
        now: Long,
        actions: MutableList<MembershipAction>,
    ) {
        val target = nextTarget()
        if (target != null) actions += direct(now, target)
        if (target == null || roundNumber % settings.roundsPerContact == 0L) contact()?.let { actions += it }
        roundNumber++
    }

    private fun nextTarget(): Member? {
        while (true) {
            if (probeOrder.isEmpty()) probeOrder = ArrayDeque(sample(table.others(), Int.MAX_VALUE))
            val target = probeOrder.removeFirstOrNull() ?: return null
            if (table.record(target.id)?.isInView == true) return target
        }
    }

    private fun direct(
        now: Long,
        target: Member,
    ): MembershipAction {
        val probe = probe(target.peerAddress, target.id)
        pendingProbes[probe.number] = PendingProbe(target, now)
        return probe
    }

    private fun contact(): MembershipAction? {
        val known = view.members.map { it.peerAddress }.toSet()
        val candidates = (contactAddresses + table.deadAddresses()).distinct().filter { it !in known }
        return sample(candidates, 1).firstOrNull()?.let { probe(it, target = null) }
    }

    private fun probe(
        address: String,
        target: RouterId?,
    ): MembershipAction.Probe {
        val missing = maxOf(0, largestPeerViewSize - view.members.size)
        val limit = minOf(settings.joinPageRecords, settings.pageRecords + missing * PAGE_RECORDS_PER_MISSING_MEMBER)
        val toRefute = if (target == null) table.deadAt(address) else listOfNotNull(recordToRefute(target))
        val message = message(toRefute).copy(pageRequest = PageRequest(pageCursor, limit))
        return MembershipAction.Probe(++lastProbeNumber, address, target, message)
    }

    /** A probe of [target] on behalf of another router; its failure has no effect on this router. */
    public fun probeFor(target: Member): MembershipAction = probe(target.peerAddress, target.id)

    /** Sends the current updates to [fanout] other routers at once. */
    public fun announce(fanout: Int): List<MembershipAction> =
        sample(table.others(), fanout).map { probe(it.peerAddress, it.id) }

    /** Stops probing; the result announces the shutdown to [fanout] other routers. */
    public fun leave(fanout: Int): List<MembershipAction> {
        leaving = true
        return announce(fanout)
    }

    /** Processes a probe from another router and returns the answer. */
    public fun onProbe(
        now: Long,
        message: MembershipMessage,
    ): MembershipMessage {
        merge(now, message)
        val page = message.pageRequest?.let { table.page(it) }.orEmpty()
        return message(listOfNotNull(recordToRefute(message.from.id))).copy(page = page)
    }

    /** Processes the [answer] to [probe]. */
    public fun onProbeAnswered(
        now: Long,
        probe: MembershipAction.Probe,
        answer: MembershipMessage,
    ) {
        pendingProbes.remove(probe.number)
        merge(now, answer)
        advancePage(answer)
        if (probe.target != null && probe.target != answer.from.id) markReplaced(now, probe.target)
    }

    private fun markReplaced(
        now: Long,
        replaced: RouterId,
    ) {
        val record = table.record(replaced) ?: return
        if (record.isInView) table.merge(now, record.copy(state = MemberState.DEAD))
    }

    private fun advancePage(answer: MembershipMessage) {
        pageCursor =
            answer.page
                .lastOrNull()
                ?.member
                ?.id
        if (pageCursor == null) largestPeerViewSize = view.members.size
        largestPeerViewSize = maxOf(largestPeerViewSize, answer.memberCount)
    }

    /** Reports that another router reached the target of the probe with this [number]. */
    public fun onTargetReached(number: Long) {
        pendingProbes.remove(number)
    }

    private fun merge(
        now: Long,
        message: MembershipMessage,
    ) {
        if (message.from.id == self.id) return
        table.merge(now, MemberRecord(message.from, message.incarnation))
        (message.records + message.page).forEach { record ->
            if (record.member.id == self.id) refute(record) else table.merge(now, record)
        }
    }

    private fun refute(record: MemberRecord) {
        if (record.state != MemberState.ALIVE && record.incarnation >= incarnation) {
            incarnation = record.incarnation + 1
        }
    }

    /** The record that [recipient] has to refute if it is alive. */
    private fun recordToRefute(recipient: RouterId): MemberRecord? =
        table.record(recipient)?.takeIf { it.state != MemberState.ALIVE }

    private fun message(toRefute: List<MemberRecord>): MembershipMessage {
        val departure = if (leaving) listOf(MemberRecord(self, incarnation, MemberState.LEFT)) else emptyList()
        val records = (departure + toRefute + table.takeUpdates(settings.recordsPerMessage)).distinct()
        return MembershipMessage(self, incarnation, records, view.members.size)
    }

    private fun <T> sample(
        candidates: List<T>,
        count: Int,
    ): List<T> {
        val shuffled = candidates.toMutableList()
        val chosen = minOf(count, shuffled.size)
        for (index in 0 until chosen) {
            val other = index + random.nextInt(shuffled.size - index)
            shuffled[index] = shuffled[other].also { shuffled[other] = shuffled[index] }
        }
        return shuffled.subList(0, chosen)
    }

    private companion object {
        const val PAGE_RECORDS_PER_MISSING_MEMBER = 8
    }
}
