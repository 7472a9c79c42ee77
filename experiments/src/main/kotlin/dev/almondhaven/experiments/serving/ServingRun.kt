package dev.almondhaven.experiments.serving

import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.decision.endpoint.EndpointChooser
import dev.almondhaven.decision.endpoint.EndpointSubsetting
import dev.almondhaven.decision.endpoint.SlowStart
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.RouterId
import org.HdrHistogram.Histogram
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/** The endpoint choice policy that every router of a run uses. */
internal enum class PolicyKind(
    val label: String,
) {
    ROUND_ROBIN("round robin"),
    RANDOM("random"),
    LEAST_REPORTED("least connections by stale reports"),
    WITHOUT_RAMP("almondhaven without ramp"),
    EARLY_SPREADING("almondhaven, spreading from 0.7"),
    ALMONDHAVEN("almondhaven"),
}

/**
 * Parameters of a run.
 *
 * @property load offered load as a fraction of the engines' capacity without prefix cache hits.
 */
internal data class ServingPlan(
    val policy: PolicyKind,
    val routers: Int,
    val endpoints: Int,
    val domains: Int,
    val load: Double,
    val duration: Duration = 40.seconds,
    val seed: Long = 1,
)

/**
 * Simulates routers in front of engines in virtual time. Requests arrive at random routers. Engines report their load
 * every half second, and the reports reach the routers [REPORT_LAG] later.
 */
internal class ServingRun(
    private val plan: ServingPlan,
) {
    private val loop = VirtualTimeLoop()
    private val random: UniformRandomProvider = RandomSource.SPLIT_MIX_64.create(plan.seed)
    private val domainNames = List(plan.domains) { FailureDomainId("domain-$it") }
    private val endpoints =
        List(plan.endpoints) { Endpoint(EndpointId("engine-$it"), domainNames[it % plan.domains], "10.0.0.$it:80") }
    private val engines: Map<EndpointId, SimulatedEngine> =
        endpoints.withIndex().associate { (place, endpoint) ->
            endpoint.id to SimulatedEngine(endpoint, loop, random, if (place % 10 == 9) SLOW_ENGINE else 1.0)
        }
    private val members =
        List(plan.routers) { Member(RouterId("router-$it"), domainNames[it % plan.domains], "10.1.0.$it:81") }
    private val sharers = EndpointSubsetting().sharers(endpoints, members)
    private val policies = members.map(::policyOf)
    private val queues = policies.map { ArrayDeque<Request>() }
    private var reportRound = 0
    private val domainOf = endpoints.associate { it.id to it.failureDomain }
    private val rate =
        plan.load * plan.endpoints * Endpoint.DEFAULT_SLOTS * SimulatedEngine.REQUESTS_PER_SLOT_SECOND

    private class Request(
        val router: Int,
        val key: Long,
        val arrivedAt: Long,
    )

    /** Times to first token, in milliseconds, of requests whose first token came while [measuring]. */
    val firstTokens = Histogram(HISTOGRAM_DIGITS)
    var measuring: Boolean = true
    var arrived = 0
        private set
    var finished = 0
        private set
    var retried = 0
        private set

    val cacheHitRatio: Double get() =
        engines.values.sumOf { it.hits }.toDouble() /
            engines.values.sumOf { it.hits + it.misses }
    val worstExcess: Int get() = engines.values.maxOf { it.worstExcess }

    /** Runs [action] at [time]. */
    fun at(
        time: Duration,
        action: ServingRun.() -> Unit,
    ): ServingRun = apply { loop.after(time) { action() } }

    /** Empties the prefix cache of [engine] and restarts its slow start without closing a connection. */
    fun turnCold(engine: Int): Unit = engines.getValue(endpoints[engine].id).turnCold()

    /** Restarts [engine]; every router sees its connections close. */
    fun restart(engine: Int) {
        val id = endpoints[engine].id
        engines.getValue(id).restart()
        policies.forEach { policy -> loop.after(CROSS_DOMAIN_DELAY) { policy.recordConnectionLost(id, loop.now) } }
    }

    /** Takes [domain] out of service on every router or returns it, each router after a random delay. */
    fun setInService(
        domain: Int,
        inService: Boolean,
    ) {
        val kept = endpoints.filter { inService || it.failureDomain != domainNames[domain] }
        policies.forEach { policy ->
            loop.after(LONGEST_CONFIGURATION_DELAY * random.nextDouble()) { policy.setInService(kept) }
        }
    }

    fun run(): ServingRun {
        loop.every(REPORT_INTERVAL) { sendReports() }
        loop.every(TICK) { policies.indices.forEach(::tick) }
        loop.after(WARM_UP) { arrive() }
        loop.runUntil(WARM_UP + plan.duration)
        loop.runUntil(WARM_UP + plan.duration + DRAIN)
        return this
    }

    fun milliseconds(percentile: Double): Long = firstTokens.getValueAtPercentile(percentile)

    private fun policyOf(member: Member): EndpointChoicePolicy =
        when (plan.policy) {
            PolicyKind.ROUND_ROBIN -> {
                BaselinePolicy(BaselinePolicy.Kind.ROUND_ROBIN, endpoints, random)
            }

            PolicyKind.RANDOM -> {
                BaselinePolicy(BaselinePolicy.Kind.RANDOM, endpoints, random)
            }

            PolicyKind.LEAST_REPORTED -> {
                BaselinePolicy(BaselinePolicy.Kind.LEAST_REPORTED, endpoints, random)
            }

            PolicyKind.WITHOUT_RAMP -> {
                RouterPolicy(
                    member,
                    sharers,
                    random,
                    SlowStart(Endpoint.DEFAULT_SLOTS, 1.milliseconds),
                )
            }

            PolicyKind.EARLY_SPREADING -> {
                RouterPolicy(
                    member,
                    sharers,
                    random,
                    SlowStart(),
                    EndpointChooser(queueingThreshold = EARLY_QUEUEING_THRESHOLD),
                )
            }

            PolicyKind.ALMONDHAVEN -> {
                RouterPolicy(member, sharers, random, SlowStart())
            }
        }

    private fun sendReports() {
        val takenAt = loop.now
        val reports = engines.mapValues { it.value.report() }
        policies.forEachIndexed { router, policy ->
            val polled = rotated(policy.watched, router)
            loop.after(REPORT_LAG) { polled.forEach { policy.acceptReport(it, reports.getValue(it), takenAt) } }
        }
        reportRound++
    }

    /** The endpoints that [router] polls in this round, at most [POLLED_AT_ONCE] of those [watched]. */
    private fun rotated(
        watched: List<EndpointId>,
        router: Int,
    ): List<EndpointId> {
        if (watched.size <= POLLED_AT_ONCE) return watched
        val first = (router + reportRound) * POLLED_AT_ONCE
        return List(POLLED_AT_ONCE) { watched[(first + it) % watched.size] }
    }

    private fun tick(router: Int) {
        policies[router].tick(loop.now)
        serve(router)
    }

    private fun arrive() {
        if (loop.now > (WARM_UP + plan.duration).inWholeNanoseconds) return
        val router = random.nextInt(plan.routers)
        val key = random.nextInt(plan.endpoints * SESSIONS_PER_ENDPOINT).toLong() * KEY_MULTIPLIER
        arrived++
        queues[router] += Request(router, key, loop.now)
        serve(router)
        loop.after((-ln(1 - random.nextDouble()) / rate).seconds) { arrive() }
    }

    private fun serve(router: Int) {
        val queue = queues[router]
        while (queue.isNotEmpty()) {
            val request = queue.first()
            val chosen = policies[router].choose(request.key, loop.now) ?: return
            queue.removeFirst()
            send(request, chosen)
        }
    }

    private fun send(
        request: Request,
        endpoint: EndpointId,
    ) {
        val sentAt = loop.now
        var firstTokenAt = 0L
        val local = domainOf.getValue(endpoint) == members[request.router].failureDomain
        loop.after(if (local) LOCAL_DELAY else CROSS_DOMAIN_DELAY) {
            engines.getValue(endpoint).accept(
                request.key,
                onFirstToken = {
                    firstTokenAt = loop.now
                    if (measuring) firstTokens.recordValue((loop.now - request.arrivedAt) / NANOS_PER_MILLI)
                },
                onEnd = {
                    finished++
                    policies[request.router].recordEnd(endpoint, (firstTokenAt - sentAt).nanoseconds, loop.now)
                    serve(request.router)
                },
                onLost = { resend(request, endpoint) },
            )
        }
    }

    /** Sends a request again whose endpoint restarted while serving it, as the retry filter does. */
    private fun resend(
        request: Request,
        endpoint: EndpointId,
    ) {
        retried++
        policies[request.router].recordEnd(endpoint, SimulatedEngine.PREFILL, loop.now)
        queues[request.router].addFirst(request)
        loop.after(CROSS_DOMAIN_DELAY * 2) { serve(request.router) }
    }

    private companion object {
        const val EARLY_QUEUEING_THRESHOLD = 0.7
        const val SLOW_ENGINE = 2.0
        const val POLLED_AT_ONCE = 24
        const val SESSIONS_PER_ENDPOINT = 48
        const val KEY_MULTIPLIER = 7_919L
        const val HISTOGRAM_DIGITS = 3
        const val NANOS_PER_MILLI = 1_000_000L
        val WARM_UP = 2.seconds
        val DRAIN = 20.seconds
        val REPORT_INTERVAL = 500.milliseconds
        val REPORT_LAG = 150.milliseconds
        val TICK = 100.milliseconds
        val LOCAL_DELAY = 200_000.nanoseconds
        val CROSS_DOMAIN_DELAY = 1.5.milliseconds
        val LONGEST_CONFIGURATION_DELAY = 500.milliseconds
    }
}
