package dev.almondhaven.gateway.state

import dev.almondhaven.decision.traffic.CanaryCounts
import dev.almondhaven.decision.traffic.CanaryEvidence
import dev.almondhaven.decision.traffic.RollOutAge
import dev.almondhaven.decision.traffic.RollOutSchedule
import dev.almondhaven.gateway.peer.EvidenceSubject
import dev.almondhaven.traffic.RollOutOrder
import dev.almondhaven.traffic.RollOutState
import kotlin.time.Duration

/** An order to roll out a version, and what this router knows of it. Must be used on the event loop only. */
internal class ActiveRollOut(
    order: RollOutOrder,
    heardAt: Long,
) {
    var order = order
        set(value) {
            field = value
            if (value.state != RollOutState.ORDERED) recordStored(value.storedAge)
        }
    val schedule = RollOutSchedule(order.within)
    val age = RollOutAge(schedule, heardAt, order.storedAge)
    val failures = CanaryEvidence()

    /** Only answers that tell the speed of their endpoint count here. */
    val slowness = CanaryEvidence()
    var requestedState: RollOutState? = null

    /** Monotonic time in nanoseconds at which [requestedState] is written again if it is not stored by then. */
    var rewriteAt = heardAt

    /** Whether a write of the age is scheduled or in flight. */
    var isStoringAge = false

    /** Age that is stored, as far as this router has heard or has stored it itself; null if none is. */
    var storedAge: Duration? = null
        private set

    init {
        if (order.state != RollOutState.ORDERED) recordStored(order.storedAge)
    }

    /** How often other routers were asked about the roll-out, when they are asked next, and whether one has answered. */
    var asked = 0
    var nextAskAt = heardAt
    var isAnswered = false

    /** The own counts that were last announced. */
    var announced: Map<EvidenceSubject, CanaryCounts> = emptyMap()

    /** When all of them are announced again. */
    var repeatAnnouncementAt = heardAt

    val isDecided: Boolean get() = order.state == RollOutState.DONE || order.state == RollOutState.ROLLED_BACK
    val isRejected: Boolean get() = requestedState == RollOutState.ROLLED_BACK

    /** Whether this is the roll-out that [other] orders. */
    fun isOf(other: RollOutOrder): Boolean =
        order.creationRevision == other.creationRevision && order.target == other.target

    /** Whether the stored age is behind a milestone of the schedule that is reached after [elapsed]. */
    fun isAgeToBeStored(elapsed: Duration): Boolean = storedAge.let { it == null || it < schedule.milestone(elapsed) }

    /** Records that the store holds the state and [age]. */
    fun recordStored(age: Duration) {
        storedAge = maxOf(age, storedAge ?: Duration.ZERO)
    }

    fun ownCounts(): Map<EvidenceSubject, CanaryCounts> =
        failures.ownCounts.mapKeys { EvidenceSubject(it.key, slowness = false) } +
            slowness.ownCounts.mapKeys { EvidenceSubject(it.key, slowness = true) }
}
