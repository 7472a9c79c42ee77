package dev.almondhaven.experiments.serving

import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.decision.endpoint.EjectionGroup
import dev.almondhaven.decision.endpoint.EndpointChoice
import dev.almondhaven.decision.endpoint.EndpointChooser
import dev.almondhaven.decision.endpoint.EndpointLimiter
import dev.almondhaven.decision.endpoint.EndpointPool
import dev.almondhaven.decision.endpoint.EndpointRequest
import dev.almondhaven.decision.endpoint.EndpointSharers
import dev.almondhaven.decision.endpoint.EndpointState
import dev.almondhaven.decision.endpoint.EndpointSubsetting
import dev.almondhaven.decision.endpoint.LoadReport
import dev.almondhaven.decision.endpoint.SlowStart
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.model.EndpointId
import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration

/** How a simulated router chooses endpoints. */
internal interface ChoicePolicy {
    /** Endpoints whose reports the policy wants. */
    val watched: List<EndpointId>

    /** The endpoint for a request, or null when it has to wait. */
    fun choose(
        key: Long,
        now: Long,
    ): EndpointId?

    fun ended(
        endpoint: EndpointId,
        firstToken: Duration,
        now: Long,
    )

    fun report(
        endpoint: EndpointId,
        report: LoadReport,
        takenAt: Long,
    )

    /** Notes that the connections to [endpoint] closed. */
    fun connectionLost(
        endpoint: EndpointId,
        now: Long,
    )

    fun tick(now: Long)

    /** Sets which endpoints are in service. */
    fun inService(endpoints: List<Endpoint>)
}

/** The router's own decisions. */
internal class RouterPolicy(
    private val self: Member,
    private val sharers: List<EndpointSharers>,
    private val random: UniformRandomProvider,
    private val ramp: SlowStart,
    private val chooser: EndpointChooser = EndpointChooser(),
) : ChoicePolicy {
    private val subset = EndpointSubsetting()
    private val group = EjectionGroup()
    private val routersOf = sharers.associate { it.endpoint.id to it.routers }
    private val limiters = HashMap<EndpointId, EndpointLimiter>()
    private var pool = EndpointPool.EMPTY
    override var watched: List<EndpointId> = emptyList()
        private set

    init {
        inService(sharers.map { it.endpoint })
    }

    override fun choose(
        key: Long,
        now: Long,
    ): EndpointId? {
        val choice = chooser.choose(pool, EndpointRequest(key), now, random)
        return (choice as? EndpointChoice.Chosen)?.state?.endpoint?.id
    }

    override fun ended(
        endpoint: EndpointId,
        firstToken: Duration,
        now: Long,
    ) {
        val limiter = limiters.getValue(endpoint)
        limiter.state.release()
        limiter.recordSuccess(firstToken, now)
    }

    override fun report(
        endpoint: EndpointId,
        report: LoadReport,
        takenAt: Long,
    ) {
        val limiter = limiters.getValue(endpoint)
        limiter.acceptReport(report, takenAt)
        limiter.update(takenAt, routersOf.getValue(endpoint))
    }

    override fun connectionLost(
        endpoint: EndpointId,
        now: Long,
    ) {
        val limiter = limiters[endpoint] ?: return
        limiter.recordConnectionLost(now)
        limiter.update(now, routersOf.getValue(endpoint))
    }

    override fun tick(now: Long) {
        watched.forEach { limiters.getValue(it).update(now, routersOf.getValue(it)) }
        pool.updateAverageOtherRequests()
    }

    override fun inService(endpoints: List<Endpoint>) {
        val (own, others) = endpoints.partition { it.failureDomain == self.failureDomain }
        pool =
            EndpointPool(
                subset.local(self.id, own).map { stateOf(it) },
                subset.remote(self.id, others).map { stateOf(it) },
            )
        watched = (pool.local + pool.remote).map { it.endpoint.id }
    }

    private fun stateOf(endpoint: Endpoint): EndpointState =
        limiters.getOrPut(endpoint.id) { EndpointLimiter(EndpointState(endpoint, group), self.id, ramp) }.state
}

/** Baselines that look at nothing but their own counters or the latest report. */
internal class BaselinePolicy(
    private val kind: Kind,
    endpoints: List<Endpoint>,
    private val random: UniformRandomProvider,
) : ChoicePolicy {
    enum class Kind { ROUND_ROBIN, RANDOM, LEAST_REPORTED }

    private var candidates = endpoints.map { it.id }
    private val reported = HashMap<EndpointId, Int>()
    private var next = random.nextInt(endpoints.size)

    override val watched: List<EndpointId> get() = if (kind == Kind.LEAST_REPORTED) candidates else emptyList()

    override fun choose(
        key: Long,
        now: Long,
    ): EndpointId =
        when (kind) {
            Kind.ROUND_ROBIN -> candidates[next++ % candidates.size]
            Kind.RANDOM -> candidates[random.nextInt(candidates.size)]
            Kind.LEAST_REPORTED -> candidates.minBy { reported[it] ?: 0 }
        }

    override fun ended(
        endpoint: EndpointId,
        firstToken: Duration,
        now: Long,
    ): Unit = Unit

    override fun report(
        endpoint: EndpointId,
        report: LoadReport,
        takenAt: Long,
    ) {
        reported[endpoint] = report.running + report.waiting
    }

    override fun connectionLost(
        endpoint: EndpointId,
        now: Long,
    ): Unit = Unit

    override fun tick(now: Long): Unit = Unit

    override fun inService(endpoints: List<Endpoint>) {
        candidates = endpoints.map { it.id }
    }
}
