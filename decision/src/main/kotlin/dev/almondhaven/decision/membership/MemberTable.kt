package dev.almondhaven.decision.membership

import dev.almondhaven.model.RouterId
import java.util.TreeMap

/** The records of all other routers, with what has to be told of them and when suspicions and memories end. */
internal class MemberTable(
    private val self: Member,
    private val settings: MembershipSettings,
) {
    private val held = TreeMap<String, Entry>()
    private var snapshot: FleetView = FleetView.ofSelf(self)
    private var viewChanged = false
    private var nextDeadline = Long.MAX_VALUE

    private class Entry(
        var record: MemberRecord,
        var deadline: Long,
        var transmissionsLeft: Int,
    )

    /** Members of the view, this router included. */
    val size: Int get() = view().members.size

    fun view(): FleetView {
        if (viewChanged) {
            val others = held.values.filter { it.record.inView }.map { it.record.member }
            snapshot = FixedFleetView(self, (others + self).sortedBy { it.id.value })
            viewChanged = false
        }
        return snapshot
    }

    fun record(id: RouterId): MemberRecord? = held[id.value]?.record

    fun others(): List<Member> = view().members.filter { it.id != self.id }

    fun suspects(): Set<RouterId> =
        held.values
            .filter { it.record.state == MemberState.SUSPECT }
            .map { it.record.member.id }
            .toSet()

    /** Addresses of dead routers, which may only have been cut off. */
    fun deadAddresses(): List<String> =
        held.values
            .filter { it.record.state == MemberState.DEAD }
            .map { it.record.member.peerAddress }

    /** Records of the dead routers that were at [address]; whoever is there now can contradict. */
    fun deadAt(address: String): List<MemberRecord> =
        held.values.map { it.record }.filter { it.state == MemberState.DEAD && it.member.peerAddress == address }

    /** Takes [record] in if it is news; returns whether it was. */
    fun merge(
        now: Long,
        record: MemberRecord,
    ): Boolean {
        val entry = held[record.member.id.value]
        if (entry == null && !record.inView) return false
        if (entry != null && !record.supersedes(entry.record)) return false
        val before = entry?.record
        val deadline = deadline(now, record)
        held[record.member.id.value] = Entry(record, deadline, settings.transmissions(held.size + 1))
        nextDeadline = minOf(nextDeadline, deadline)
        if (before?.inView != record.inView || before.member != record.member) viewChanged = true
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

    /** Ends suspicions and memories whose time is over. */
    fun expire(now: Long) {
        if (now < nextDeadline) return
        val due = held.values.filter { it.deadline <= now }.map { it.record }
        due.forEach { record ->
            if (record.state == MemberState.SUSPECT) {
                merge(now, record.copy(state = MemberState.DEAD))
            } else {
                held.remove(record.member.id.value)
            }
        }
        nextDeadline = held.values.minOfOrNull { it.deadline } ?: Long.MAX_VALUE
    }

    /** Grants every suspected router [nanos] more, because this router could not listen for so long. */
    fun extendSuspicions(nanos: Long) {
        held.values.filter { it.record.state == MemberState.SUSPECT }.forEach { it.deadline += nanos }
    }

    /** The least often told news, at most [limit], counted as told once more. */
    fun takeNews(limit: Int): List<MemberRecord> {
        val chosen = held.values.filter { it.transmissionsLeft > 0 }.sortedByDescending { it.transmissionsLeft }
        return chosen.take(limit).map { entry ->
            entry.transmissionsLeft--
            entry.record
        }
    }

    /** Records of the view that [request] asks for. */
    fun page(request: PageRequest): List<MemberRecord> {
        val following = request.after?.let { held.tailMap(it.value, false) } ?: held
        return following.values
            .asSequence()
            .map { it.record }
            .filter { it.inView }
            .take(minOf(request.limit, settings.joinPageRecords))
            .toList()
    }
}
