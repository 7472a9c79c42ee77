package dev.almondhaven.decision.membership

import dev.almondhaven.model.RouterId
import java.util.TreeMap

/**
 * The records of all other routers, with their remaining gossip transmissions and the deadlines at which they change.
 */
internal class MemberTable(
    private val self: Member,
    private val settings: MembershipSettings,
) {
    private val entries = TreeMap<String, Entry>()
    private var snapshot: FleetView = FleetView.ofSelf(self)
    private var viewChanged = false
    private var nextDeadline = Long.MAX_VALUE

    private class Entry(
        var record: MemberRecord,
        var deadline: Long,
        var transmissionsLeft: Int,
    )

    /** Number of members in the view, this router included. */
    val size: Int get() = view().members.size

    fun view(): FleetView {
        if (viewChanged) {
            val others = entries.values.filter { it.record.isInView }.map { it.record.member }
            snapshot = FixedFleetView(self, (others + self).sortedBy { it.id.value })
            viewChanged = false
        }
        return snapshot
    }

    fun record(id: RouterId): MemberRecord? = entries[id.value]?.record

    fun others(): List<Member> = view().members.filter { it.id != self.id }

    fun suspects(): Set<RouterId> =
        entries.values
            .filter { it.record.state == MemberState.SUSPECT }
            .map { it.record.member.id }
            .toSet()

    /** Addresses of dead routers, which may only have been partitioned from this one. */
    fun deadAddresses(): List<String> =
        entries.values
            .filter { it.record.state == MemberState.DEAD }
            .map { it.record.member.peerAddress }

    /** Records of the dead routers last seen at [address]; the router that is there now can refute its own. */
    fun deadAt(address: String): List<MemberRecord> =
        entries.values.map { it.record }.filter { it.state == MemberState.DEAD && it.member.peerAddress == address }

    /** Stores [record] if it supersedes the existing one; returns whether it did. */
    fun merge(
        now: Long,
        record: MemberRecord,
    ): Boolean {
        val entry = entries[record.member.id.value]
        if (entry == null && !record.isInView) return false
        if (entry != null && !record.supersedes(entry.record)) return false
        val before = entry?.record
        val deadline = deadline(now, record)
        entries[record.member.id.value] = Entry(record, deadline, settings.transmissionLimit(entries.size + 1))
        nextDeadline = minOf(nextDeadline, deadline)
        if (before?.isInView != record.isInView || before.member != record.member) viewChanged = true
        return true
    }

    private fun deadline(
        now: Long,
        record: MemberRecord,
    ): Long =
        when (record.state) {
            MemberState.ALIVE -> Long.MAX_VALUE
            MemberState.SUSPECT -> now + settings.suspicionTimeout(size).inWholeNanoseconds
            MemberState.DEAD, MemberState.LEFT -> now + settings.forgetAfter.inWholeNanoseconds
        }

    /**
     * Declares routers dead whose suspicion has timed out, and removes dead and departed routers after their retention.
     */
    fun expire(now: Long) {
        if (now < nextDeadline) return
        val due = entries.values.filter { it.deadline <= now }.map { it.record }
        due.forEach { record ->
            if (record.state == MemberState.SUSPECT) {
                merge(now, record.copy(state = MemberState.DEAD))
            } else {
                entries.remove(record.member.id.value)
            }
        }
        nextDeadline = entries.values.minOfOrNull { it.deadline } ?: Long.MAX_VALUE
    }

    /** Extends every suspicion by [nanos], for which this process was paused and could not receive refutations. */
    fun extendSuspicions(nanos: Long) {
        entries.values.filter { it.record.state == MemberState.SUSPECT }.forEach { it.deadline += nanos }
    }

    /** The least often transmitted updates, at most [limit]; counts one more transmission of each. */
    fun takeUpdates(limit: Int): List<MemberRecord> {
        val chosen = entries.values.filter { it.transmissionsLeft > 0 }.sortedByDescending { it.transmissionsLeft }
        return chosen.take(limit).map { entry ->
            entry.transmissionsLeft--
            entry.record
        }
    }

    /** The page of members in the view that [request] asks for. */
    fun page(request: PageRequest): List<MemberRecord> {
        val following = request.after?.let { entries.tailMap(it.value, false) } ?: entries
        return following.values
            .asSequence()
            .map { it.record }
            .filter { it.isInView }
            .take(minOf(request.limit, settings.joinPageRecords))
            .toList()
    }
}
