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

/** The way a simulated router chooses the endpoint of a request. */
internal interface EndpointChoicePolicy {
    /** Endpoints whose load reports the router polls. */
    val watched: List<EndpointId>

    /** Chooses the endpoint for a request with affinity [key], or null when the request has to wait. */
    fun choose(
        key: Long,
        now: Long,
    ): EndpointId?

    /** Records that a request on [endpoint] ended; [firstToken] is its time to first token. */
    fun recordEnd(
        endpoint: EndpointId,
        firstToken: Duration,
        now: Long,
    )

    /** Accepts a load report that [endpoint] took at [takenAt]. */
    fun acceptReport(
        endpoint: EndpointId,
        report: LoadReport,
        takenAt: Long,
    )

    /** Records that the connections to [endpoint] closed. */
    fun recordConnectionLost(
        endpoint: EndpointId,
        now: Long,
    )

    /** Updates the limits periodically. */
    fun tick(now: Long)

    /** Replaces the set of endpoints that are in service. */
    fun setInService(endpoints: List<Endpoint>)
}

/** Chooses with the router's production code: subsetting, concurrency limits, slow start and outlier ejection. */
internal class RouterPolicy(
    private val self: Member,
    private val sharers: List<EndpointSharers>,
    private val random: UniformRandomProvider,
    private val slowStart: SlowStart,
    private val chooser: EndpointChooser = EndpointChooser(),
) : EndpointChoicePolicy {
    private val subset = EndpointSubsetting()
    private val ejectionGroup = EjectionGroup()
    private val routersOf = sharers.associate { it.endpoint.id to it.routers }
    private val limiters = HashMap<EndpointId, EndpointLimiter>()
    private var pool = EndpointPool.EMPTY
    override var watched: List<EndpointId> = emptyList()
        private set

    init {
        setInService(sharers.map { it.endpoint })
    }

    override fun choose(
        key: Long,
        now: Long,
    ): EndpointId? {
        val choice = chooser.choose(pool, EndpointRequest(key), now, random)
        return (choice as? EndpointChoice.Chosen)?.state?.endpoint?.id
    }

    override fun recordEnd(
        endpoint: EndpointId,
        firstToken: Duration,
        now: Long,
    ) {
        val limiter = limiters.getValue(endpoint)
        limiter.state.release()
        limiter.recordSuccess(firstToken, now)
    }

    override fun acceptReport(
        endpoint: EndpointId,
        report: LoadReport,
        takenAt: Long,
    ) {
        val limiter = limiters.getValue(endpoint)
        limiter.acceptReport(report, takenAt)
        limiter.update(takenAt, routersOf.getValue(endpoint))
    }

    override fun recordConnectionLost(
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

    override fun setInService(endpoints: List<Endpoint>) {
        val (own, others) = endpoints.partition { it.failureDomain == self.failureDomain }
        pool =
            EndpointPool(
                subset.local(self.id, own).map { stateOf(it) },
                subset.remote(self.id, others).map { stateOf(it) },
            )
        watched = (pool.local + pool.remote).map { it.endpoint.id }
    }

    private fun stateOf(endpoint: Endpoint): EndpointState =
        limiters
            .getOrPut(endpoint.id) {
                EndpointLimiter(EndpointState(endpoint, ejectionGroup), self.id, slowStart)
            }.state
}

/** Baselines that use only a local counter, a random number or the latest load reports. */
internal class BaselinePolicy(
    private val kind: Kind,
    endpoints: List<Endpoint>,
    private val random: UniformRandomProvider,
) : EndpointChoicePolicy {
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

    override fun recordEnd(
        endpoint: EndpointId,
        firstToken: Duration,
        now: Long,
    ): Unit = Unit

    override fun acceptReport(
        endpoint: EndpointId,
        report: LoadReport,
        takenAt: Long,
    ) {
        reported[endpoint] = report.running + report.waiting
    }

    override fun recordConnectionLost(
        endpoint: EndpointId,
        now: Long,
    ): Unit = Unit

    override fun tick(now: Long): Unit = Unit

    override fun setInService(endpoints: List<Endpoint>) {
        candidates = endpoints.map { it.id }
    }
}
