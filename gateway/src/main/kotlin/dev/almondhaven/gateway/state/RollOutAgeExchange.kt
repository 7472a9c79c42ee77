package dev.almondhaven.gateway.state

import dev.almondhaven.gateway.peer.RollOutAnnouncer
import dev.almondhaven.gateway.peer.RollOutStatement
import dev.almondhaven.gateway.peer.SessionAnnouncement
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import io.github.oshai.kotlinlogging.KotlinLogging
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Learns from other routers how long ago roll-outs were ordered, and tells them. A router asks as soon as it has heard of
 * an order and knows other routers, in quick succession until one answers, and regularly afterwards, since it may be
 * suspended at any time. Must be used on the event loop only.
 *
 * @property sessionsToAnnounce sessions whose version a router that has heard of the order late must know.
 */
internal class RollOutAgeExchange(
    private val announcer: RollOutAnnouncer,
    private val clock: NanoClock,
    private val sessionsToAnnounce: (ActiveRollOut) -> List<SessionAnnouncement>,
) {
    /** Whether the list of routers is known. */
    var knowsRouters = false

    /** Asks other routers about [rollOut] if that is due. */
    fun askIfDue(rollOut: ActiveRollOut) {
        val now = clock.nanos()
        if (!knowsRouters || rollOut.isDecided || now - rollOut.nextAskAt < 0) return
        if (rollOut.age.isProvisional && rollOut.asked >= FIRST_ASKS) {
            logGain(rollOut, rollOut.age.assumePosition(now), "schedule")
        }
        rollOut.asked++
        val isUrgent = !rollOut.isAnswered && rollOut.asked < FIRST_ASKS
        val pause = if (isUrgent) FIRST_ASKS_PAUSE else ASK_INTERVAL
        rollOut.nextAskAt = now + pause.inWholeNanoseconds
        announcer.askRollOut(statementOf(rollOut, asks = true))
    }

    /** Applies the age [stated] for [rollOut] by the router at [sender], and answers if that router [asks]. */
    fun apply(
        rollOut: ActiveRollOut,
        stated: Duration,
        asks: Boolean,
        sender: InetSocketAddress,
    ) {
        val now = clock.nanos()
        val ownAge = rollOut.age.elapsed(now)
        if (!asks) {
            rollOut.isAnswered = true
            return logGain(rollOut, rollOut.age.confirm(stated, now), "$sender")
        }
        logGain(rollOut, rollOut.age.recordAtLeast(stated, now), "$sender")
        // An answer tells that this router has followed the roll-out.
        if (rollOut.age.isProvisional) return
        val isLate = ownAge - stated > LATE_HEARING
        val sessions = if (isLate) sessionsToAnnounce(rollOut).take(MAX_SESSIONS) else emptyList()
        announcer.answerRollOut(sender, statementOf(rollOut, asks = false), sessions)
    }

    /** Applies the age that is stored with the order of [rollOut]. */
    fun applyStored(rollOut: ActiveRollOut): Unit =
        logGain(rollOut, rollOut.age.recordAtLeast(rollOut.order.storedAge, clock.nanos()), "store")

    private fun statementOf(
        rollOut: ActiveRollOut,
        asks: Boolean,
    ) = RollOutStatement(
        rollOut.order.service.value,
        rollOut.order.creationRevision,
        rollOut.order.target,
        rollOut.age.elapsed(clock.nanos()).inWholeMilliseconds,
        rollOut.isRejected,
        asks,
    )

    private fun logGain(
        rollOut: ActiveRollOut,
        gain: Duration,
        source: String,
    ) {
        if (gain < LOGGED_GAIN) return
        LogEvent.ROLL_OUT_AGE.log(logger) {
            "service=${rollOut.order.service} target=${rollOut.order.target} " +
                "elapsed=${rollOut.age.elapsed(clock.nanos())} gain=$gain source=$source"
        }
    }

    private companion object {
        /** So many times a router asks in quick succession before it relies on what is stored. */
        const val FIRST_ASKS = 5
        val FIRST_ASKS_PAUSE = 200.milliseconds
        val ASK_INTERVAL = 1.seconds

        /** A router that is behind by more has missed what was announced meanwhile. */
        val LATE_HEARING = 500.milliseconds

        /** So many sessions fit into some dozen datagrams. */
        const val MAX_SESSIONS = 512
        val LOGGED_GAIN = 100.milliseconds
    }
}
