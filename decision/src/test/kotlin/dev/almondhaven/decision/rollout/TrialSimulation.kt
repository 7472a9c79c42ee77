package dev.almondhaven.decision.rollout

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.RollOut
import dev.almondhaven.catalogue.RollOutStep
import dev.almondhaven.decision.choice.EvidencePool
import dev.almondhaven.decision.choice.EvidenceSubject
import dev.almondhaven.decision.choice.TaskClassifier
import dev.almondhaven.decision.choice.version
import dev.almondhaven.model.Generation
import dev.almondhaven.model.RouterId
import dev.almondhaven.model.VersionId
import org.apache.commons.rng.simple.RandomSource

/** Behaviour of a simulated version. */
internal data class Behaviour(
    val errorRate: Double = 0.02,
    val millisecondsPerToken: Double = 20.0,
    val quality: Double = 0.85,
)

/** Simulates a roll-out of [new] as successor of [old] in virtual time. */
internal class TrialSimulation(
    seed: Long,
    private val limits: TrialLimits = TrialLimits(),
) {
    val old = version("model", definedIn = 1)
    val new =
        old.copy(
            version = VersionId("2"),
            definedIn = Generation(2),
            rollOut = RollOut(old.version, startedAt = START, steps = listOf(RollOutStep(0.5, 600))),
        )
    val other = version("other", definedIn = 1)
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val pool = EvidencePool(RouterId("r"))
    private val windows = RecentWindows(pool)
    private val policy = QuarantinePolicy(RouterId("r"), limits)
    private var quarantines = QuarantineSet.EMPTY
    private var now = START

    /** Runs [count] requests on [version], of which on average one in [ratedEvery] is rated. */
    fun serve(
        version: ModelVersion,
        behaviour: Behaviour,
        count: Int = 5,
        ratedEvery: Int = 2,
    ) {
        val subject = EvidenceSubject(version.id, version.definedIn, TaskClassifier.QUERY)
        repeat(count) {
            val failed = random.nextDouble() < behaviour.errorRate
            val millisecondsPerToken = behaviour.millisecondsPerToken * (0.6 + 0.8 * random.nextDouble())
            pool.record(subject, now) { it.plusRequest(failed, millisecondsPerToken, null) }
            if (random.nextInt(ratedEvery) == 0) {
                val rating = (behaviour.quality + 0.3 * (random.nextDouble() - 0.5)).coerceIn(0.0, 1.0)
                pool.record(subject, now) { it.plusRating(rating, null) }
            }
        }
    }

    /**
     * Advances the time by [seconds] and applies the policy; returns the versions of [inService] that are in
     * quarantine.
     */
    fun evaluate(
        vararg inService: ModelVersion,
        seconds: Long = 1,
    ): Set<ModelVersion> {
        now += seconds * 1_000
        pool.advance(now)
        windows.advance(now)
        val catalogue = Catalogue(models = inService.toList())
        policy.decide(catalogue, quarantines, pool.totals, windows.windows(), now).forEach {
            quarantines =
                quarantines.plus(it)
        }
        return inService.filter { quarantines.contains(it) }.toSet()
    }

    /** The measure because of which [version] is in quarantine, or null. */
    fun measure(version: ModelVersion): TrialMeasure? = quarantines.find(version)?.evidence?.measure

    companion object {
        const val START = 1_800_000_000_000L
    }
}
