package dev.almondhaven.gateway.state

import dev.almondhaven.decision.traffic.AttributionChange
import dev.almondhaven.decision.traffic.CrashAttribution
import dev.almondhaven.decision.traffic.CrashReport
import dev.almondhaven.decision.traffic.PromptAdmission
import dev.almondhaven.gateway.net.ProbeResult
import dev.almondhaven.gateway.peer.CrashAnnouncement
import dev.almondhaven.gateway.peer.PromptAnnouncement
import dev.almondhaven.gateway.peer.PromptAnnouncer
import dev.almondhaven.gateway.peer.QuarantineAnnouncement
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.platform.StoreCall
import dev.almondhaven.platform.StoreChange
import dev.almondhaven.platform.StoreKind
import dev.almondhaven.platform.StoredObject
import dev.almondhaven.traffic.PromptQuarantine
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import org.apache.commons.rng.UniformRandomProvider
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Keeps requests from the endpoints whose prompts crash them: passes what this router and others see to a
 * [CrashAttribution], and stores each quarantine, so that a router that starts later keeps it too. A router can't tell how
 * long ago a stored quarantine began; it keeps it for all of its time, unless another one deletes the entry, which each
 * router does when the time has passed on its own monotonic clock. Must be used on the event loop only.
 */
internal class PromptQuarantineController(
    private val router: String,
    private val store: StoreClient,
    private val loop: EventLoop,
    private val clock: NanoClock,
    private val random: UniformRandomProvider,
    private val announcer: PromptAnnouncer,
    private val routerCount: () -> Int,
    private val endpointOf: (EndpointId) -> EndpointHandle?,
) {
    /**
     * A stored quarantine.
     *
     * @property revision of its entry; null until the entry has been read.
     * @property until monotonic time in nanoseconds at which it ends at this router.
     */
    private class StoredQuarantine(
        val parts: Set<String>,
        val revision: Long?,
        val until: Long,
    )

    private val attribution = CrashAttribution()

    /** Requests whose connections broke, by the endpoint that is being probed for a crash. */
    private val unconfirmed = HashMap<EndpointHandle, MutableList<CrashReport>>()
    private val stored = HashMap<String, StoredQuarantine>()
    private val unreadable = UnreadableEntries(StoreKind.PROMPT_QUARANTINES)

    /** Called after a quarantine has begun. */
    var onQuarantine: () -> Unit = {}

    /** Whether the request [request] with a prompt of [parts] may be sent now. */
    fun admission(
        request: String,
        parts: List<String>,
    ): PromptAdmission {
        val isProbed = unconfirmed.values.any { reports -> reports.any { it.request == request } }
        return if (isProbed) PromptAdmission.Deferred else attribution.admission(request, parts, clock.nanos())
    }

    /** Whether a prompt of [parts] could be what crashed an endpoint. */
    fun mayCrash(parts: List<String>): Boolean = attribution.unprovenParts(parts).isNotEmpty()

    /** Records that an endpoint has begun to answer a prompt of [parts]. */
    fun recordAnswer(parts: List<String>) {
        val change = attribution.recordAnswer(parts, clock.nanos())
        if (change != AttributionChange.NONE) applyOwn(change)
    }

    /**
     * Records that the connection of [request] to [endpoint] broke before the answer had begun. The endpoint is probed:
     * only if nothing listens there has it crashed.
     */
    fun recordUnanswered(
        endpoint: EndpointHandle,
        request: String,
        parts: List<String>,
        responseStarted: Boolean,
    ) {
        if (parts.size !in 1..MAX_PARTS) return
        probe(endpoint)
        val listing = endpoint.state.listing
        val report = CrashReport(listing.id, listing.startedAtMillis, request, parts.toSet(), responseStarted)
        unconfirmed[endpoint]?.add(report)
    }

    /** Records that a connection to [endpoint] broke whose answer had begun: another request may have crashed it. */
    fun recordBroken(endpoint: EndpointHandle): Unit = probe(endpoint)

    private fun probe(endpoint: EndpointHandle) {
        if (endpoint in unconfirmed) return
        unconfirmed[endpoint] = ArrayList()
        endpoint.pool.probe { result ->
            if (result == ProbeResult.LISTENING) probeAgain(endpoint) else onProbed(endpoint, result)
        }
    }

    /** The port of a process that ends may be open for a moment after its connections have broken. */
    private fun probeAgain(endpoint: EndpointHandle) {
        loop.schedule(
            { endpoint.pool.probe { onProbed(endpoint, it) } },
            SECOND_PROBE_MILLIS,
            TimeUnit.MILLISECONDS,
        )
    }

    private fun onProbed(
        endpoint: EndpointHandle,
        result: ProbeResult,
    ) {
        val unanswered = unconfirmed.remove(endpoint).orEmpty()
        if (result != ProbeResult.REFUSED) return
        report(endpoint, unanswered + cancelledReports(endpoint, endpoint.state.listing.startedAtMillis))
    }

    private fun cancelledReports(
        endpoint: EndpointHandle,
        startedAtMillis: Long,
    ): List<CrashReport> =
        endpoint
            .takeCancelled(since = clock.nanos() - CANCELLED_WORK.inWholeNanoseconds)
            .filter { it.parts.size in 1..MAX_PARTS }
            .map {
                CrashReport(
                    endpoint.state.listing.id,
                    startedAtMillis,
                    it.request,
                    it.parts.toSet(),
                    it.responseStarted,
                )
            }

    private fun report(
        endpoint: EndpointHandle,
        reports: List<CrashReport>,
    ) {
        if (reports.isEmpty()) return
        LogEvent.ENDPOINT_CRASHED.log(logger) {
            "endpoint=${endpoint.state.listing.id} unanswered=${reports.size} " +
                reports.joinToString(" ") { "${it.request}=${attribution.unprovenParts(it.parts)}" }
        }
        val announcement = PromptAnnouncement(crashes = reports.map(CrashAnnouncement::of))
        announcer.announcePrompts(announcement)
        // A router that misses a report blames the others that met the crash.
        loop.schedule({ announcer.announcePrompts(announcement) }, REPEAT_MILLIS, TimeUnit.MILLISECONDS)
        reports.forEach { attribution.recordCrash(it, clock.nanos()) }
        evaluateLater(::applyOwn)
    }

    private fun evaluateLater(applyChange: (AttributionChange) -> Unit) {
        val delay = CrashAttribution.REPORT_TIME.inWholeMilliseconds + 1
        loop.schedule(
            { applyChange(AttributionChange(quarantined = attribution.evaluate(clock.nanos()))) },
            delay,
            TimeUnit.MILLISECONDS,
        )
    }

    /** Applies what another router announced. */
    fun applyAnnouncement(announcement: PromptAnnouncement) {
        val now = clock.nanos()
        announcement.crashes.filter { it.parts.size <= MAX_PARTS }.forEach { crash ->
            replyTo(crash, now)
            attribution.recordCrash(crash.report(), now)
        }
        announcement.crashes.distinctBy { it.endpoint }.forEach { crash ->
            val endpoint = endpointOf(EndpointId(crash.endpoint)) ?: return@forEach
            report(endpoint, cancelledReports(endpoint, crash.startedAtMillis))
        }
        if (announcement.crashes.isNotEmpty()) evaluateLater(::applyRemote)
        if (announcement.answeredParts.isNotEmpty()) {
            applyRemote(attribution.recordRemoteAnswer(announcement.answeredParts, now))
        }
        announcement.quarantines.filter { it.parts.size in 1..MAX_PARTS }.forEach {
            applyQuarantine(it.parts.toSet(), it.millis.milliseconds, "announced")
            storeLater(it.parts.toSet())
        }
    }

    /** Tells the others what this router knows of the parts of [crash]; in a large fleet some routers do. */
    private fun replyTo(
        crash: CrashAnnouncement,
        now: Long,
    ) {
        if (random.nextDouble() * routerCount() > REPLYING_ROUTERS) return
        val unproven = attribution.unprovenParts(crash.parts)
        val quarantines =
            attribution.quarantines(crash.parts, now).map { (parts, remaining) ->
                QuarantineAnnouncement(parts.toList(), remaining.inWholeMilliseconds)
            }
        val reply = PromptAnnouncement(answeredParts = crash.parts - unproven, quarantines = quarantines)
        if (!reply.isEmpty) announcer.announcePrompts(reply)
    }

    private fun applyOwn(change: AttributionChange) {
        apply(change)
        val millis = CrashAttribution.QUARANTINE.inWholeMilliseconds
        val quarantines = change.quarantined.map { QuarantineAnnouncement(it.toList(), millis) }
        val announcement = PromptAnnouncement(answeredParts = change.cleared.toList(), quarantines = quarantines)
        if (!announcement.isEmpty) announcer.announcePrompts(announcement)
        change.quarantined.forEach(::storeNow)
        change.lifted.forEach(::deleteStored)
    }

    private fun applyRemote(change: AttributionChange) {
        apply(change)
        change.quarantined.forEach(::storeLater)
    }

    private fun apply(change: AttributionChange) {
        change.quarantined.forEach { LogEvent.PROMPT_QUARANTINED.log(logger) { "parts=$it source=crashes" } }
        change.lifted.forEach { LogEvent.PROMPT_QUARANTINE_ENDED.log(logger) { "parts=$it reason=answered" } }
        if (change.cleared.isNotEmpty()) LogEvent.PROMPT_CLEARED.log(logger) { "parts=${change.cleared}" }
        if (change.quarantined.isNotEmpty()) onQuarantine()
    }

    private fun applyQuarantine(
        parts: Set<String>,
        remaining: Duration,
        source: String,
    ) {
        if (!attribution.applyQuarantine(parts, remaining, clock.nanos())) return
        LogEvent.PROMPT_QUARANTINED.log(logger) { "parts=$parts source=$source remaining=$remaining" }
        onQuarantine()
    }

    /** Stores a quarantine that another router has found, unless that router does so itself. */
    private fun storeLater(parts: Set<String>) {
        val delay = STORE_DELAY + (random.nextDouble() * routerCount() * STORE_SPREAD_MILLIS).milliseconds
        loop.schedule({ storeNow(parts) }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun storeNow(parts: Set<String>) {
        val remaining = attribution.quarantines(parts, clock.nanos())[parts] ?: return
        val quarantine = PromptQuarantine(parts, remaining)
        val held = stored[quarantine.name]
        if (held != null && held.until - clock.nanos() > 0) return
        if (held != null) {
            delete(quarantine.name)
            return storeLater(parts)
        }
        store.call(StoreCall.quarantine(quarantine, router), STORE_TIMEOUT) { response ->
            if (response == null) {
                loop.schedule({ storeNow(parts) }, STORE_RETRY_DELAY.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            } else {
                hold(quarantine.name, quarantine, revision = null)
            }
        }
    }

    /** Deletes the stored quarantines that bind no prompt but those with [parts]. */
    private fun deleteStored(parts: Set<String>): Unit =
        stored.filterValues { it.parts.containsAll(parts) }.keys.forEach(::delete)

    private fun delete(name: String) {
        store.call(StoreCall.deleteQuarantine(name), STORE_TIMEOUT) { response ->
            if (response == null) {
                loop.schedule({ delete(name) }, STORE_RETRY_DELAY.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            }
        }
    }

    /** Applies the complete list of stored quarantines. */
    fun replaceStored(entries: List<StoredObject>) {
        val missing = stored.keys - entries.map { it.name }.toSet()
        missing.forEach(::end)
        entries.forEach(::applyStored)
    }

    /** Applies changes of stored quarantines. */
    fun updateStored(changes: List<StoreChange>): Unit =
        changes.forEach { if (it.removed || it.entry.removed) end(it.entry.name) else applyStored(it.entry) }

    private fun applyStored(entry: StoredObject) {
        val quarantine = unreadable.read(entry, StoredObject::asPromptQuarantine) ?: return
        if (stored[entry.name]?.revision != entry.revision) hold(entry.name, quarantine, entry.revision)
        val remaining = (stored.getValue(entry.name).until - clock.nanos()).nanoseconds
        applyQuarantine(quarantine.parts, remaining, "stored")
    }

    /** Counts the time of [quarantine] from now or, if this router has stored it itself, from then. */
    private fun hold(
        name: String,
        quarantine: PromptQuarantine,
        revision: Long?,
    ) {
        val own = stored[name]?.takeIf { it.revision == null }
        val until = own?.until ?: (clock.nanos() + quarantine.remaining.inWholeNanoseconds)
        val held = StoredQuarantine(quarantine.parts, revision, until)
        stored[name] = held
        val spread = (random.nextDouble() * routerCount() * STORE_SPREAD_MILLIS).milliseconds
        val delay = (until - clock.nanos()).nanoseconds + ENDED_KEPT + spread
        loop.schedule({ if (stored[name] === held) delete(name) }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Ends a quarantine whose entry was deleted, by an operator or by a router that has held it for all of its time. */
    private fun end(name: String) {
        val held = stored.remove(name) ?: return
        if (held.until - clock.nanos() <= 0) return
        LogEvent.PROMPT_QUARANTINE_ENDED.log(logger) { "parts=${held.parts} reason=deleted" }
        attribution.lift(held.parts)
    }

    private companion object {
        /** Prompts have a few parts; more of them would not fit into a datagram. */
        const val MAX_PARTS = 64

        /** Pause before the second probe. */
        const val SECOND_PROBE_MILLIS = 20L

        /** An engine drops a cancelled request between two steps. */
        val CANCELLED_WORK = 250.milliseconds

        /** Short enough that the repeated report arrives before the crash is evaluated. */
        const val REPEAT_MILLIS = 4L

        /** So many routers reply to an announced crash, which bounds the messages in a large fleet. */
        const val REPLYING_ROUTERS = 16.0

        /** The router that found a quarantine has stored it by then, if it lives and reaches the store. */
        val STORE_DELAY: Duration = 800.milliseconds

        /** Spreads the writes of the routers, so that all but the first find the entry. */
        const val STORE_SPREAD_MILLIS = 50.0
        val STORE_TIMEOUT = 1.seconds
        val STORE_RETRY_DELAY = 500.milliseconds

        /** Time after its end in which the same parts, if they crash endpoints again, get a new entry first. */
        val ENDED_KEPT = 60.seconds
    }
}
