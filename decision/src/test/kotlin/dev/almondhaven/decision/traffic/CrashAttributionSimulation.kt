package dev.almondhaven.decision.traffic

import dev.almondhaven.model.EndpointId
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Routers with a [CrashAttribution] each, in front of endpoints that crash when they begin to answer a deadly part. Time
 * is virtual. Messages between routers take a few milliseconds, and some are lost.
 *
 * @param deadlyParts of each deadly part the second in which requests with it begin.
 * @param deadlyShare share of the requests that hold one of the deadly parts then.
 * @param crashesPerSecond rate at which endpoints crash by themselves.
 * @param restartAt second in which all routers start anew, with nothing but what the store holds.
 */
internal class CrashAttributionSimulation(
    seed: Int,
    private val routerCount: Int = 5,
    private val endpointCount: Int = 6,
    private val requestsPerSecond: Double = 30.0,
    private val deadlyParts: Map<String, Int> = mapOf("deadly" to 4),
    private val deadlyShare: Double = 0.05,
    private val crashesPerSecond: Double = 0.0,
    val restartAt: Int? = null,
) {
    private class Event(
        val at: Long,
        val number: Long,
        val action: () -> Unit,
    )

    private class Request(
        val id: String,
        val router: Int,
        val parts: List<String>,
    ) {
        var attempts = 0
        var responseStarted = false
    }

    private class Endpoint(
        val id: String,
    ) {
        var start = 1L
        var downUntil = 0L
        val waiting = LinkedHashSet<Request>()
    }

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.number }))
    private var now = 0L
    private var number = 0L
    private val routers = MutableList(routerCount) { CrashAttribution() }
    private val endpoints = List(endpointCount) { Endpoint("e-$it") }

    /** What the store holds. */
    private val stored = LinkedHashSet<Set<String>>()

    /** When requests with each deadly part reached an endpoint. */
    val reached: MutableMap<String, MutableList<Duration>> = HashMap()

    /** When an endpoint crashed because of each deadly part. */
    val crashes: MutableMap<String, MutableList<Duration>> = HashMap()

    /** Sound requests that were rejected for their prompt. */
    var rejectedSound = 0
        private set

    /** All sound requests. */
    var sound = 0
        private set

    fun run(length: Duration) {
        generateSequence(0.0) { it + random.nextDouble() * 2 / requestsPerSecond }
            .takeWhile { it < length.inWholeSeconds }
            .forEach { at(seconds(it)) { arrive() } }
        if (crashesPerSecond > 0) {
            generateSequence(1.0) { it + random.nextDouble() * 2 / crashesPerSecond }
                .takeWhile { it < length.inWholeSeconds }
                .forEach { at(seconds(it)) { crash(endpoints.random(random)) } }
        }
        restartAt?.let { at(it.seconds.inWholeNanoseconds) { restartRouters() } }
        while (events.isNotEmpty()) {
            val event = events.remove()
            now = event.at
            event.action()
        }
    }

    private fun seconds(value: Double) = (value * 1e9).toLong()

    private fun at(
        time: Long,
        action: () -> Unit,
    ) {
        events += Event(time, number++, action)
    }

    private fun after(
        delay: Duration,
        action: () -> Unit,
    ): Unit = at(now + delay.inWholeNanoseconds, action)

    private fun restartRouters() {
        routers.indices.forEach { index ->
            routers[index] = CrashAttribution()
            stored.forEach { routers[index].applyQuarantine(it, CrashAttribution.QUARANTINE, now) }
        }
    }

    private fun arrive() {
        val begun = deadlyParts.filterValues { now >= it * 1e9 }.keys
        val deadly = begun.randomOrNull(random)?.takeIf { random.nextDouble() < deadlyShare }
        val tenant = random.nextInt(4)
        val document = "document-$tenant-${random.nextInt(DOCUMENTS)}"
        val parts = listOf("system", "tenant-$tenant", document) + listOfNotNull(deadly)
        if (deadly == null) sound++
        dispatch(Request("r-${number++}", random.nextInt(routerCount), parts))
    }

    private fun dispatch(request: Request) {
        when (routers[request.router].admission(request.id, request.parts, now)) {
            is PromptAdmission.Admitted -> send(request)
            is PromptAdmission.Deferred -> after(40.milliseconds) { dispatch(request) }
            is PromptAdmission.Quarantined -> if (deadlyOf(request) == null) rejectedSound++
        }
    }

    private fun deadlyOf(request: Request) = request.parts.firstOrNull { it in deadlyParts }

    private fun send(request: Request) {
        val up = endpoints.filter { now >= it.downUntil }
        if (up.isEmpty()) return after(40.milliseconds) { dispatch(request) }
        val endpoint = up.random(random)
        request.attempts++
        request.responseStarted = false
        endpoint.waiting += request
        deadlyOf(request)?.let { reached.getOrPut(it, ::ArrayList) += now.nanoseconds }
        val start = endpoint.start
        after((30 + random.nextInt(600)).milliseconds) {
            if (endpoint.start == start && request in endpoint.waiting) request.responseStarted = true
            after((10 + random.nextInt(50)).milliseconds) {
                if (endpoint.start == start && request in endpoint.waiting) begin(endpoint, request)
            }
        }
    }

    private fun begin(
        endpoint: Endpoint,
        request: Request,
    ) {
        val deadly = deadlyOf(request)
        if (deadly != null) {
            crashes.getOrPut(deadly, ::ArrayList) += now.nanoseconds
            return crash(endpoint)
        }
        endpoint.waiting -= request
        applyOwn(request.router, routers[request.router].recordAnswer(request.parts, now))
    }

    private fun crash(endpoint: Endpoint) {
        val lost = endpoint.waiting.toList()
        endpoint.waiting.clear()
        val start = endpoint.start++
        endpoint.downUntil = now + 3.seconds.inWholeNanoseconds
        lost.forEach { request ->
            val report =
                CrashReport(
                    EndpointId(endpoint.id),
                    start,
                    request.id,
                    request.parts.toSet(),
                    request.responseStarted,
                )
            after((2 + random.nextInt(3)).milliseconds) { reportCrash(request.router, report) }
            if (request.attempts < MAX_ATTEMPTS) after(25.milliseconds) { dispatch(request) }
        }
    }

    private fun reportCrash(
        router: Int,
        report: CrashReport,
    ) {
        routers[router].recordCrash(report, now)
        evaluateLater(router)
        announce(router, MESSAGE_LOSS * MESSAGE_LOSS) { other ->
            val proven = report.parts - routers[other].unprovenParts(report.parts)
            announce(other) { applyOwn(it, routers[it].recordRemoteAnswer(proven, now)) }
            routers[other].recordCrash(report, now)
            evaluateLater(other)
        }
    }

    private fun evaluateLater(router: Int): Unit =
        after(CrashAttribution.REPORT_TIME + 1.milliseconds) {
            applyOwn(router, AttributionChange(quarantined = routers[router].evaluate(now)))
        }

    private fun applyOwn(
        router: Int,
        change: AttributionChange,
    ) {
        stored += change.quarantined
        change.quarantined.forEach { parts ->
            announce(router) { routers[it].applyQuarantine(parts, CrashAttribution.QUARANTINE, now) }
        }
        if (change.cleared.isNotEmpty()) announce(router) { routers[it].recordRemoteAnswer(change.cleared, now) }
    }

    private fun announce(
        from: Int,
        loss: Double = MESSAGE_LOSS,
        receive: (Int) -> Unit,
    ): Unit =
        (routers.indices - from).filter { random.nextDouble() >= loss }.forEach { to ->
            after((1 + random.nextInt(4)).milliseconds) { receive(to) }
        }

    private companion object {
        /** Reports are sent twice. */
        const val MESSAGE_LOSS = 0.05
        const val MAX_ATTEMPTS = 3
        const val DOCUMENTS = 60
    }
}
