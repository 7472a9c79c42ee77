package dev.almondhaven.decision.traffic

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Finds the prompt parts that crash every endpoint which begins to answer them, and quarantines them.
 *
 * Load pattern: requests that share one such part reach any router, among sound requests that share all their other
 * parts. Each of them ends an endpoint together with every answer in progress there, and retries carry it to the next
 * endpoint. Blaming the endpoint alone loses one after the other.
 *
 * The requests that an endpoint had not begun to answer when it crashed are suspected for the parts that no endpoint
 * has answered yet. The blame for a crash is divided among its suspects. One request of each suspect probes an endpoint;
 * others with the same parts wait for its outcome. An answer clears the parts of its prompt. Parts that are to blame
 * for more than one crash are quarantined: a request whose prompt holds all of them is not sent. Not thread-safe.
 *
 * Every router has one of these and is told the crash reports of all, so that they come to the same result.
 */
public class CrashAttribution {
    private val answeredParts = AnsweredParts()
    private val suspects = ArrayList<CrashSuspect>()

    /** Crashes whose cause is known. */
    private val attributed = LinkedHashSet<EndpointCrash>()

    /** Crashes whose reports may not all have arrived. */
    private val unreported = LinkedHashMap<EndpointCrash, ReportedCrash>()

    /** Parts of [parts] that no endpoint is known to answer. */
    public fun unprovenParts(parts: Collection<String>): Set<String> = parts.filterNot(answeredParts::isProven).toSet()

    /**
     * Whether a request [request] with a prompt of [parts] may be sent at [now]; not while a crash that it met waits for
     * its other reports. Where a probe has had its time, the request becomes the next one.
     */
    public fun admission(
        request: String,
        parts: Collection<String>,
        now: Long,
    ): PromptAdmission {
        if (unreported.values.any { request in it }) return PromptAdmission.Deferred
        if (suspects.isEmpty()) return PromptAdmission.Admitted
        removeExpired(now)
        val matching = suspects.filter { parts.containsAll(it.parts) }
        if (matching.isEmpty()) return PromptAdmission.Admitted
        val quarantined = matching.firstOrNull { it.isQuarantined }
        return when {
            quarantined != null -> PromptAdmission.Quarantined(quarantined.parts, remaining(quarantined, now))

            matching.all {
                blame(
                    it,
                ) < MIN_BLAME_TO_DEFER || mayProbe(it, request, now)
            } -> admit(request, matching, now)

            else -> PromptAdmission.Deferred
        }
    }

    private fun remaining(
        suspect: CrashSuspect,
        now: Long,
    ): Duration = ((suspect.quarantinedUntil ?: now) - now).nanoseconds

    private fun mayProbe(
        suspect: CrashSuspect,
        request: String,
        now: Long,
    ): Boolean =
        (request == suspect.probe && !isPrimeSuspect(suspect)) ||
            (now - suspect.probedSince).nanoseconds >= LONGEST_PROBE

    /**
     * Whether [suspect] is the most likely cause of its last crash, which was not its first: the others that met it
     * probe before, since their answers show its blame without one more crash.
     */
    private fun isPrimeSuspect(suspect: CrashSuspect): Boolean {
        if (suspect.crashes.size == 1) return false
        val last = suspect.crashes.keys.last()
        return suspects.filter { last in it.crashes }.maxBy(::blame) === suspect
    }

    private fun admit(
        request: String,
        matching: List<CrashSuspect>,
        now: Long,
    ): PromptAdmission {
        matching.filter { it.probe != request }.forEach {
            it.probe = request
            it.probedSince = now
        }
        return PromptAdmission.Admitted
    }

    private fun removeExpired(now: Long) {
        suspects.removeAll { suspect ->
            val until = suspect.quarantinedUntil
            if (until != null) {
                now - until >= 0
            } else {
                (now - suspect.lastCrashAt).nanoseconds > SUSPICION
            }
        }
    }

    /** Records that an endpoint began to answer a prompt of [parts] at [now]. */
    public fun recordAnswer(
        parts: Collection<String>,
        now: Long,
    ): AttributionChange {
        answeredParts.recordAnswer(parts)
        if (suspects.isEmpty()) return AttributionChange.NONE
        suspects.forEach { it.answersWithout++ }
        return clear(parts.toSet(), mayLift = true, now)
    }

    /**
     * Records that another router has seen answers to prompts of [parts]. That may be a while ago, so it does not end a
     * quarantine.
     */
    public fun recordRemoteAnswer(
        parts: Collection<String>,
        now: Long,
    ): AttributionChange {
        answeredParts.recordAnswer(parts)
        return clear(parts.toSet(), mayLift = false, now)
    }

    private fun clear(
        parts: Set<String>,
        mayLift: Boolean,
        now: Long,
    ): AttributionChange {
        val cleared = HashSet<String>()
        val lifted = ArrayList<Set<String>>()
        val narrowed = ArrayList<Set<String>>()
        for (suspect in suspects.toList()) {
            val remaining = suspect.parts - parts
            if (remaining.size == suspect.parts.size) continue
            if (remaining.isEmpty() && suspect.isQuarantined && !mayLift) continue
            cleared += suspect.parts intersect parts
            if (suspect.isQuarantined && remaining.isEmpty()) lifted += suspect.parts
            if (suspect.isQuarantined && remaining.isNotEmpty()) narrowed += remaining
            if (remaining.isEmpty()) suspects -= suspect else suspect.parts = remaining
        }
        return AttributionChange(narrowed + evaluate(now), lifted, cleared)
    }

    /**
     * Records a crash that this router or another one has seen. [evaluate] takes it into account when the other reports of
     * the crash should have arrived, after [REPORT_TIME].
     */
    public fun recordCrash(
        report: CrashReport,
        now: Long,
    ) {
        val crash = EndpointCrash(report.endpoint, report.startedAtMillis)
        answeredParts.recordCrash(report.parts, crash)
        if (crash !in attributed && unreported.size < MAX_UNREPORTED) {
            unreported.getOrPut(crash) { ReportedCrash(now) }.reports += report
        }
    }

    /** Takes the reported crashes into account, and returns the sets of parts that are quarantined for them. */
    public fun evaluate(now: Long): List<Set<String>> {
        removeExpired(now)
        val reported = unreported.filterValues { (now - it.since).nanoseconds >= REPORT_TIME }
        reported.forEach { (crash, reports) ->
            unreported -= crash
            attribute(crash, reports)
        }
        return generateSequence { mostBlamed() }
            .onEach { suspect ->
                suspect.quarantinedUntil = now + QUARANTINE.inWholeNanoseconds
                markAttributed(suspect.crashes.keys.toList())
            }.map { it.parts }
            .toList()
    }

    private fun mostBlamed(): CrashSuspect? =
        suspects.filter { !it.isQuarantined && blame(it) > it.maxBlame }.maxByOrNull(::blame)

    private fun attribute(
        crash: EndpointCrash,
        reported: ReportedCrash,
    ) {
        val reports = reported.reports.groupBy { unprovenParts(it.parts) }.filterKeys { it.isNotEmpty() }
        if (suspects.any { it.isQuarantined && reports.keys.any { parts -> parts.containsAll(it.parts) } }) {
            return markAttributed(listOf(crash))
        }
        val known =
            reports.keys.associateWith { parts ->
                suspects.filter { parts.containsAll(it.parts) }.maxByOrNull { it.parts.size }
            }
        val absent = suspects.filter { it !in known.values && crash !in it.crashes }
        reports.forEach { (parts, ofParts) ->
            recordCrashOf(known[parts] ?: newSuspect(parts, absent), crash, ofParts, reported.since)
        }
    }

    private fun recordCrashOf(
        suspect: CrashSuspect,
        crash: EndpointCrash,
        reports: List<CrashReport>,
        at: Long,
    ) {
        val responseStarted = reports.any { it.responseStarted }
        val before = suspect.crashes[crash]
        // Endpoints that crash at the same time have a cause in common, which is no request.
        val isSimultaneous = suspect.crashes.isNotEmpty() && (at - suspect.lastCrashAt).nanoseconds < SIMULTANEOUS
        if (before != null || !isSimultaneous) suspect.crashes[crash] = responseStarted || before == true
        if (before != null || isSimultaneous) return
        suspect.lastCrashAt = at
        suspect.probe = reports.minOf { it.request }
        suspect.probedSince = at
    }

    /**
     * A suspect of [parts] or, if another crash is suspected of some of them, of what both have in common. [absent] are
     * the suspects that did not meet the present crash.
     */
    private fun newSuspect(
        parts: Set<String>,
        absent: List<CrashSuspect>,
    ): CrashSuspect {
        val related =
            absent
                .filter { it in suspects && it.parts.any(parts::contains) }
                .maxByOrNull { (it.parts intersect parts).size }
        val suspect = if (related == null) CrashSuspect(parts, isNarrowed = false) else narrow(related, parts)
        if (suspects.size >= MAX_SUSPECTS) suspects.minByOrNull { it.lastCrashAt }?.let(suspects::remove)
        suspects += suspect
        return suspect
    }

    /** A suspect of what [related] has in common with [parts]; it replaces one that is not quarantined. */
    private fun narrow(
        related: CrashSuspect,
        parts: Set<String>,
    ): CrashSuspect {
        if (!related.isQuarantined) suspects -= related
        val priorBlame =
            if (related.isQuarantined &&
                related.crashes.isEmpty()
            ) {
                BLAME_OF_QUARANTINED
            } else {
                related.priorBlame
            }
        return CrashSuspect(related.parts intersect parts, isNarrowed = true, priorBlame).also {
            it.crashes.putAll(related.crashes)
            it.lastCrashAt = related.lastCrashAt
            it.answersWithout = related.answersWithout
        }
    }

    /**
     * The crashes for which [suspect] is to blame. A suspect with more parts takes no share of them: it was to blame for
     * these parts.
     */
    private fun blame(suspect: CrashSuspect): Double {
        val others = suspects.filter { it !== suspect && !it.parts.containsAll(suspect.parts) }
        return suspect.priorBlame +
            suspect.crashes.entries.sumOf { (crash, responseStarted) ->
                val likelihood = likelihood(responseStarted)
                val share =
                    likelihood / (likelihood + others.sumOf { other -> other.crashes[crash]?.let(::likelihood) ?: 0.0 })
                if (responseStarted) share else share * EVIDENCE_BEFORE_RESPONSE
            }
    }

    private fun likelihood(responseStarted: Boolean): Double = if (responseStarted) 1.0 else LIKELIHOOD_BEFORE_RESPONSE

    /** Clears the other suspects of crashes whose cause is known. */
    private fun markAttributed(crashes: List<EndpointCrash>) {
        attributed += crashes
        while (attributed.size > MAX_ATTRIBUTED) attributed.remove(attributed.first())
        suspects.forEach { if (!it.isQuarantined) it.crashes.keys -= crashes.toSet() }
        suspects.removeAll { !it.isQuarantined && it.crashes.isEmpty() }
    }

    /**
     * Applies a quarantine of [parts] that another router has found, for another [remaining] time. Returns false if it
     * is in force already or has ended, or if this router knows all the parts to be answered.
     */
    public fun applyQuarantine(
        parts: Set<String>,
        remaining: Duration,
        now: Long,
    ): Boolean {
        require(parts.isNotEmpty()) { "parts must not be empty" }
        removeExpired(now)
        val unproven = unprovenParts(parts)
        if (unproven.isEmpty() || !remaining.isPositive()) return false
        val existing = suspects.firstOrNull { it.parts == unproven }
        val suspect = existing ?: CrashSuspect(unproven, isNarrowed = false).also(suspects::add)
        if (suspect.isQuarantined) return false
        suspect.quarantinedUntil = now + minOf(remaining, QUARANTINE).inWholeNanoseconds
        markAttributed(suspect.crashes.keys.toList())
        return true
    }

    /** Ends the quarantine of [parts], for example because an operator has lifted it. */
    public fun lift(parts: Set<String>) {
        suspects.removeAll { it.isQuarantined && parts.containsAll(it.parts) }
    }

    /** The sets of parts that are quarantined at [now] and that a prompt of [parts] holds, with their remaining time. */
    public fun quarantines(
        parts: Collection<String>,
        now: Long,
    ): Map<Set<String>, Duration> =
        suspects
            .filter { it.isQuarantined && parts.containsAll(it.parts) }
            .associate { it.parts to remaining(it, now) }

    public companion object {
        /** Time after which a quarantined part is tried again. */
        public val QUARANTINE: Duration = 10.minutes

        /** Time that other requests wait for the outcome of a probe; most answers begin within it. */
        public val LONGEST_PROBE: Duration = 1_500.milliseconds

        /** Time in which all routers report a crash; until then the blame of each suspect looks larger than it is. */
        public val REPORT_TIME: Duration = 15.milliseconds

        /** Time after which a crash without a second one is forgotten. */
        private val SUSPICION = 1.minutes

        /** Crashes within this time of each other count as one. */
        private val SIMULTANEOUS = 20.milliseconds

        /** Of the requests that met a crash, those whose answer was about to begin are far more likely its cause. */
        private const val LIKELIHOOD_BEFORE_RESPONSE = 0.1

        /** Requests that wait are many, so that one meets a second crash by chance more easily. */
        private const val EVIDENCE_BEFORE_RESPONSE = 0.5

        /** Crashes that a quarantine counts for where the ones behind it are not known. */
        private const val BLAME_OF_QUARANTINED = 1.0

        /** Blame below which requests need not wait for a probe. */
        private const val MIN_BLAME_TO_DEFER = 0.25
        private const val MAX_SUSPECTS = 256
        private const val MAX_UNREPORTED = 256
        private const val MAX_ATTRIBUTED = 256
    }
}
