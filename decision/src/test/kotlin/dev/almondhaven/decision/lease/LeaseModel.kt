package dev.almondhaven.decision.lease

import dev.almondhaven.model.RouterId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Routers, a platform that loses answers and applies writes late, and one engine, in virtual time.
 *
 * @property honoursFencing whether the engine refuses orders with an old fencing number.
 * @property longestHesitation longest pause of a router between its last look at the lease and sending the order.
 */
internal class LeaseModel(
    seed: Long,
    private val settings: LeaseSettings,
    private val honoursFencing: Boolean,
    private val longestHesitation: Duration,
    successorSettings: LeaseSettings = settings,
) {
    private val random = Random(seed)
    private var now = 0L
    private var stored: VersionedLease? = null
    private var earlier: VersionedLease? = null
    private var version = 0L
    private var attempts = 0
    private val events = mutableListOf<Event>()
    private var highestAccepted = 0L
    private val routers = List(ROUTERS) { Router(it, if (it == 0) settings else successorSettings) }

    /** Orders that took effect although a later holder could already give orders, or had. */
    val violations = mutableListOf<String>()

    /** Orders that took effect. */
    var accepted = 0
        private set

    private class Event(
        val at: Long,
        val action: () -> Unit,
    )

    private inner class Router(
        index: Int,
        settings: LeaseSettings,
    ) {
        val lease = Lease(RouterId("router-$index"), settings) { "attempt-${attempts++}" }
        val clockOffset = random.nextLong(DAY_NANOS)
        var pausedUntil = 0L
        val clock: Long get() = now + clockOffset

        fun step() {
            if (now < pausedUntil) return
            if (random.nextInt(400) == 0) pausedUntil = now + random.nextLong(LONGEST_PAUSE.inWholeNanoseconds)
            when (val call = lease.next(clock, wanted = random.nextInt(20) > 0)) {
                null -> Unit
                LeaseCall.Read -> read()
                is LeaseCall.Write -> write(call)
            }
            if (random.nextInt(4) == 0) order()
        }

        private fun read() {
            val found = if (random.nextInt(10) == 0) earlier else stored
            if (random.nextInt(10) == 0) lease.onFailure() else lease.onRead(clock, found)
        }

        private fun write(call: LeaseCall.Write) {
            when (random.nextInt(6)) {
                0 -> lease.onFailure()
                1 -> apply(call).also { lease.onFailure() }
                2 -> later(random.nextLong(LATEST_WRITE.inWholeNanoseconds)) { apply(call) }.also { lease.onFailure() }
                else -> apply(call)?.let { lease.onWritten(clock, it) } ?: lease.onConflict()
            }
        }

        private fun order() {
            val fencing = lease.fencingToken(clock) ?: return
            val hesitation = random.nextLong(longestHesitation.inWholeNanoseconds + 1)
            pausedUntil = maxOf(pausedUntil, now + hesitation)
            val transit = random.nextLong(settings.orderLifetime.inWholeNanoseconds)
            later(hesitation + transit) { arrive(fencing) }
        }
    }

    private fun apply(call: LeaseCall.Write): Long? {
        if (stored?.version != call.version) return null
        earlier = stored
        stored = VersionedLease(call.record, ++version)
        return version
    }

    private fun later(
        delay: Long,
        action: () -> Unit,
    ) {
        events += Event(now + delay, action)
    }

    private fun arrive(fencing: Long) {
        if (honoursFencing && fencing < highestAccepted) return
        val newest = if (honoursFencing) highestAccepted else routers.maxOf { it.lease.fencingToken(it.clock) ?: 0 }
        if (fencing < maxOf(newest, highestAccepted)) violations += "order of $fencing after $newest at $now"
        highestAccepted = maxOf(highestAccepted, fencing)
        accepted++
    }

    /** Lets [span] pass. */
    fun run(span: Duration) {
        val end = now + span.inWholeNanoseconds
        while (now < end) {
            now += STEP.inWholeNanoseconds
            val due = events.filter { it.at <= now }
            events.removeAll(due)
            due.forEach { it.action() }
            routers.shuffled(random).forEach { it.step() }
        }
    }

    private companion object {
        const val ROUTERS = 3
        const val DAY_NANOS = 86_400_000_000_000L
        val STEP: Duration = 250.milliseconds
        val LONGEST_PAUSE: Duration = 90.seconds
        val LATEST_WRITE: Duration = 60.seconds
    }
}
