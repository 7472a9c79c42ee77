package dev.almondhaven.experiments.choice

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.decision.choice.EvidencePool
import dev.almondhaven.decision.choice.EvidenceSubject
import dev.almondhaven.decision.choice.Tally
import dev.almondhaven.decision.choice.TaskClassifier
import dev.almondhaven.decision.rollout.QuarantinePolicy
import dev.almondhaven.decision.rollout.QuarantineSet
import dev.almondhaven.decision.rollout.RecentWindows
import dev.almondhaven.decision.rollout.TrialLimits
import dev.almondhaven.model.RouterId
import org.apache.commons.rng.UniformRandomProvider
import java.util.ArrayDeque

/** Error rate, speed and quality of a simulated version. */
internal class FakeBehaviour(
    val errorRate: Double = 0.01,
    val millisecondsPerToken: Double = 20.0,
    val quality: Double = 0.9,
)

/** Size and traffic of a simulated fleet. */
internal class FleetSize(
    val routers: Int,
    val requestsPerSecond: Int,
)

/** A rating that arrives at its router at [due], in epoch milliseconds. */
private class LateRating(
    val due: Long,
    val router: SimulatedRouter,
    val subject: EvidenceSubject,
    val rating: Double,
)

/** A router that evaluates versions with the production code, over simulated transport and time. */
internal class SimulatedRouter(
    id: Int,
    routers: Int,
) {
    val pool: EvidencePool = EvidencePool(RouterId("router-$id"))
    var quarantines: QuarantineSet = QuarantineSet.EMPTY
    private val windows = RecentWindows(pool)
    private val policy = QuarantinePolicy(RouterId("router-$id"), TrialLimits(routers = routers))

    fun evaluate(
        catalogue: Catalogue,
        now: Long,
    ) {
        pool.advance(now)
        windows.advance(now)
        policy
            .decide(catalogue, quarantines, pool.totals, windows.windows(), now)
            .forEach { quarantines = quarantines.plus(it) }
    }
}

/**
 * Routers that send a share of the traffic to a version, exchange evidence by gossip every second within a limit of
 * cells per message, and quarantine the version when it is faulty. Time advances in steps of one second.
 */
internal class SimulatedFleet(
    private val size: FleetSize,
    private val catalogue: Catalogue,
    private val ratedShare: Double,
    private val random: UniformRandomProvider,
) {
    private val routers = List(size.routers) { SimulatedRouter(it, size.routers) }
    private val pendingRatings = ArrayDeque<LateRating>()

    /** Number of requests so far that ran on the version under test. */
    var exposed: Long = 0
        private set

    /** Whether every router has quarantined [version]. */
    fun allStopped(version: ModelVersion): Boolean = routers.all { it.quarantines.contains(version) }

    /** Whether at least one router has quarantined [version]. */
    fun anyStopped(version: ModelVersion): Boolean = routers.any { it.quarantines.contains(version) }

    /**
     * Simulates one second at [now]. A [share] of the requests is assigned to [version], unless their router has
     * quarantined it; all others run on [other].
     */
    fun simulateSecond(
        now: Long,
        share: Double,
        version: ModelVersion,
        behaviour: FakeBehaviour,
        other: ModelVersion,
        otherBehaviour: FakeBehaviour,
        evaluate: Boolean = true,
    ) {
        repeat(size.requestsPerSecond) {
            val router = routers[random.nextInt(routers.size)]
            if (random.nextDouble() < share && !router.quarantines.contains(version)) {
                exposed++
                serve(router, version, behaviour, now)
            } else {
                serve(router, other, otherBehaviour, now)
            }
        }
        while (pendingRatings.isNotEmpty() && pendingRatings.first().due <= now) {
            val rating = pendingRatings.removeFirst()
            rating.router.pool.record(rating.subject, now) { it.plusRating(rating.rating, null) }
        }
        gossip()
        if (evaluate) routers.forEach { it.evaluate(catalogue, now) }
    }

    private fun serve(
        router: SimulatedRouter,
        version: ModelVersion,
        behaviour: FakeBehaviour,
        now: Long,
    ) {
        val subject = EvidenceSubject(version.id, version.definedIn, TaskClassifier.QUERY)
        val failed = random.nextDouble() < behaviour.errorRate
        val millisPerToken = behaviour.millisecondsPerToken * (0.7 + 0.6 * random.nextDouble())
        router.pool.record(subject, now) { it.plusRequest(failed, if (failed) null else millisPerToken, null) }
        if (!failed && random.nextDouble() < ratedShare) {
            val rating = (behaviour.quality + 0.2 * (random.nextDouble() - 0.5)).coerceIn(0.0, 1.0)
            pendingRatings += LateRating(now + RATING_LAG_MILLIS, router, subject, rating)
        }
    }

    private fun gossip() {
        if (routers.size == 1) return
        routers.forEach { router ->
            repeat(MESSAGES_PER_SECOND) {
                val peer = routers[random.nextInt(routers.size)]
                if (peer !== router) sendEvidence(router, peer)
            }
        }
    }

    private fun sendEvidence(
        router: SimulatedRouter,
        peer: SimulatedRouter,
    ) {
        router.pool.nextToGossip(CELLS_PER_MESSAGE).forEach { (cell, tally) ->
            peer.pool.merge(cell, Tally.encodeAndDecode(tally))
        }
        peer.quarantines = peer.quarantines.merge(router.quarantines)
    }

    private fun Tally.Companion.encodeAndDecode(tally: Tally): Tally =
        checkNotNull(parseOrNull(tally.toText())) { "unreadable tally $tally" }

    private companion object {
        const val RATING_LAG_MILLIS = 60_000L
        const val MESSAGES_PER_SECOND = 2
        const val CELLS_PER_MESSAGE = 6
    }
}
