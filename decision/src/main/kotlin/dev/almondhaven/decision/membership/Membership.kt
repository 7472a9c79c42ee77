package dev.almondhaven.decision.membership

import dev.almondhaven.model.RouterId
import org.apache.commons.rng.UniformRandomProvider

/**
 * Which other routers are alive, after the SWIM protocol: each interval one other router is probed; one that does not
 * answer is probed through others, then suspected, then dropped unless it contradicts by raising its incarnation. News
 * rides on the probes and their answers, so a router's cost doesn't grow with the fleet.
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
    private val probes = HashMap<Long, RunningProbe>()
    private var ring = ArrayDeque<Member>()
    private var contacts: List<String> = emptyList()
    private var incarnation = 0L
    private var leaving = false
    private var lastNumber = 0L
    private var round = 0L
    private var nextRoundAt = now
    private var lastTickAt = now
    private var pageCursor: RouterId? = null
    private var largestPeerCount = 1

    private class RunningProbe(
        val target: Member,
        val startedAt: Long,
        var indirect: Boolean = false,
    )

    /** Routers held to be alive, suspected ones included. */
    public val view: FleetView get() = table.view()

    /** Routers that have stopped answering. */
    public val suspects: Set<RouterId> get() = table.suspects()

    /** Sets the addresses to look for routers at: seeds and the VM list, which may be old. */
    public fun setContactAddresses(addresses: List<String>) {
        contacts = addresses.filter { it != self.peerAddress }
    }

    /** Lets time pass; returns what has to be sent. Call it several times in a probe interval. */
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
        probes.clear()
        table.extendSuspicions(gap)
    }

    private fun advanceProbes(
        now: Long,
        actions: MutableList<MembershipAction>,
    ) {
        probes.entries.removeIf { (_, probe) ->
            val failed = now - probe.startedAt >= settings.probeTimeout.inWholeNanoseconds
            if (failed) suspect(now, probe.target)
            failed
        }
        probes.forEach { (number, probe) ->
            val due = now - probe.startedAt >= settings.directTimeout.inWholeNanoseconds
            if (due && !probe.indirect) actions += indirectProbes(number, probe)
        }
    }

    private fun indirectProbes(
        number: Long,
        probe: RunningProbe,
    ): List<MembershipAction> {
        probe.indirect = true
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
        if (target == null || round % settings.roundsPerContact == 0L) contact()?.let { actions += it }
        round++
    }

    private fun nextTarget(): Member? {
        while (true) {
            if (ring.isEmpty()) ring = ArrayDeque(sample(table.others(), Int.MAX_VALUE))
            val target = ring.removeFirstOrNull() ?: return null
            if (table.record(target.id)?.inView == true) return target
        }
    }

    private fun direct(
        now: Long,
        target: Member,
    ): MembershipAction {
        val probe = probe(target.peerAddress, target.id)
        probes[probe.number] = RunningProbe(target, now)
        return probe
    }

    private fun contact(): MembershipAction? {
        val known = view.members.map { it.peerAddress }.toSet()
        val candidates = (contacts + table.deadAddresses()).distinct().filter { it !in known }
        return sample(candidates, 1).firstOrNull()?.let { probe(it, target = null) }
    }

    private fun probe(
        address: String,
        target: RouterId?,
    ): MembershipAction.Probe {
        val missing = maxOf(0, largestPeerCount - view.members.size)
        val limit = minOf(settings.joinPageRecords, settings.pageRecords + missing * PAGE_RECORDS_PER_MISSING)
        val doubted = if (target == null) table.deadAt(address) else listOfNotNull(doubted(target))
        val message = message(doubted).copy(pageRequest = PageRequest(pageCursor, limit))
        return MembershipAction.Probe(++lastNumber, address, target, message)
    }

    /** A probe of [target] on behalf of another router; its failure says nothing here. */
    public fun probeFor(target: Member): MembershipAction = probe(target.peerAddress, target.id)

    /** Tells [fanout] other routers the news at once. */
    public fun announce(fanout: Int): List<MembershipAction> =
        sample(table.others(), fanout).map { probe(it.peerAddress, it.id) }

    /** Stops taking part; the result tells [fanout] others. */
    public fun leave(fanout: Int): List<MembershipAction> {
        leaving = true
        return announce(fanout)
    }

    /** Takes in a probe from another router and returns the answer. */
    public fun onProbe(
        now: Long,
        message: MembershipMessage,
    ): MembershipMessage {
        merge(now, message)
        val page = message.pageRequest?.let { table.page(it) }.orEmpty()
        return message(listOfNotNull(doubted(message.from.id))).copy(page = page)
    }

    /** Takes in the [answer] to [probe]. */
    public fun onProbeAnswered(
        now: Long,
        probe: MembershipAction.Probe,
        answer: MembershipMessage,
    ) {
        probes.remove(probe.number)
        merge(now, answer)
        turnPage(answer)
        if (probe.target != null && probe.target != answer.from.id) replaced(now, probe.target)
    }

    private fun replaced(
        now: Long,
        gone: RouterId,
    ) {
        val record = table.record(gone) ?: return
        if (record.inView) table.merge(now, record.copy(state = MemberState.DEAD))
    }

    private fun turnPage(answer: MembershipMessage) {
        pageCursor =
            answer.page
                .lastOrNull()
                ?.member
                ?.id
        if (pageCursor == null) largestPeerCount = view.members.size
        largestPeerCount = maxOf(largestPeerCount, answer.memberCount)
    }

    /** Another router could reach the target of the probe with this [number]. */
    public fun onTargetReached(number: Long) {
        probes.remove(number)
    }

    private fun merge(
        now: Long,
        message: MembershipMessage,
    ) {
        if (message.from.id == self.id) return
        table.merge(now, MemberRecord(message.from, message.incarnation))
        (message.records + message.page).forEach { record ->
            if (record.member.id == self.id) contradict(record) else table.merge(now, record)
        }
    }

    private fun contradict(record: MemberRecord) {
        if (record.state != MemberState.ALIVE && record.incarnation >= incarnation) {
            incarnation = record.incarnation + 1
        }
    }

    /** What the recipient has to contradict if it is alive. */
    private fun doubted(recipient: RouterId): MemberRecord? =
        table.record(recipient)?.takeIf { it.state != MemberState.ALIVE }

    private fun message(doubted: List<MemberRecord>): MembershipMessage {
        val own = if (leaving) listOf(MemberRecord(self, incarnation, MemberState.LEFT)) else emptyList()
        val records = (own + doubted + table.takeNews(settings.recordsPerMessage)).distinct()
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
        const val PAGE_RECORDS_PER_MISSING = 8
    }
}
