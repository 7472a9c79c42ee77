package dev.almondhaven.router.controller

import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.decision.choice.ConfidenceBand
import dev.almondhaven.decision.choice.EvidenceCell
import dev.almondhaven.decision.choice.EvidencePool
import dev.almondhaven.decision.choice.EvidenceSubject
import dev.almondhaven.decision.choice.Tally
import dev.almondhaven.decision.rollout.Quarantine
import dev.almondhaven.decision.rollout.QuarantinePolicy
import dev.almondhaven.decision.rollout.QuarantineSet
import dev.almondhaven.decision.rollout.RatingAnomalyDetector
import dev.almondhaven.decision.rollout.RecentWindows
import dev.almondhaven.decision.rollout.RollOutReport
import dev.almondhaven.decision.rollout.TrialLimits
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.Rating
import dev.almondhaven.model.RequestId
import dev.almondhaven.model.RouterId
import io.github.oshai.kotlinlogging.KotlinLogging
import java.time.InstantSource
import java.util.concurrent.ArrayBlockingQueue
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * One step of a request that has ended.
 *
 * @property delivered whether the caller gets the answer, so that a rating of it may follow.
 * @property escalated whether another version was tried before.
 */
internal data class StepObservation(
    val requestId: RequestId,
    val subject: EvidenceSubject,
    val failed: Boolean,
    val millisecondsPerToken: Double?,
    val confidence: ConfidenceBand?,
    val delivered: Boolean,
    val escalated: Boolean = false,
)

/** A reading of another router's evidence. */
internal data class EvidenceUpdate(
    val cell: EvidenceCell,
    val tally: Tally,
)

private sealed interface ChoiceMessage {
    class Observed(
        val observation: StepObservation,
    ) : ChoiceMessage

    class Rated(
        val ratings: List<Rating>,
    ) : ChoiceMessage

    class EvidenceTold(
        val readings: List<EvidenceUpdate>,
    ) : ChoiceMessage

    class QuarantinesTold(
        val quarantines: QuarantineSet,
    ) : ChoiceMessage
}

/**
 * Owns what this router knows of versions: takes in observations, ratings and other routers' evidence, tests versions,
 * and publishes a [ChoiceSnapshot] for requests.
 */
internal class ChoiceController(
    self: RouterId,
    private val holder: CatalogueHolder,
    private val limits: () -> TrialLimits,
    private val clock: InstantSource = InstantSource.system(),
) : AutoCloseable {
    private val routerId = self
    private val pool = EvidencePool(self)
    private val windows = RecentWindows(pool)
    private val pending = PendingRatings(MAXIMUM_PENDING_RATINGS)
    private val toTell = ArrayBlockingQueue<EvidenceUpdate>(MAXIMUM_TO_TELL)
    private var distrusted = emptySet<Long>()
    private var lastEvaluation = 0L
    private var lastDistrustCheck = 0L

    @Volatile
    private var duty: ActorThread<ChoiceMessage>? = null

    /** What requests read. */
    @Volatile
    var snapshot: ChoiceSnapshot = ChoiceSnapshot.EMPTY
        private set

    fun start() {
        duty = ActorThread.start("choice", RING, TICK, onTick = ::tick, onMessage = ::take)
    }

    override fun close() {
        duty?.stop()
    }

    /** Notes an ended step. A full ring drops it: evidence is a sample anyway. */
    fun observe(observation: StepObservation) {
        duty?.offer(ChoiceMessage.Observed(observation))
    }

    /** Notes ratings, in any order and any number of times; only those of this router's own answers count. */
    fun rate(ratings: List<Rating>) {
        duty?.offer(ChoiceMessage.Rated(ratings))
    }

    /** Takes in other routers' evidence. */
    fun merge(readings: List<EvidenceUpdate>) {
        duty?.offer(ChoiceMessage.EvidenceTold(readings))
    }

    /** Takes in quarantines that other routers know of. */
    fun merge(quarantines: QuarantineSet) {
        if (snapshot.quarantines.merge(quarantines) != snapshot.quarantines) {
            duty?.offer(ChoiceMessage.QuarantinesTold(quarantines))
        }
    }

    /** The next reading to tell a peer, or null when nothing has changed. */
    fun nextEvidenceUpdate(): EvidenceUpdate? = toTell.poll()

    /** What operators are told. */
    fun report(): RollOutReport {
        val known = snapshot
        return RollOutReport.of(holder.index.catalogue, known.quarantines, known.ratingsDistrusted, clock.millis())
    }

    private fun take(message: ChoiceMessage): Unit =
        when (message) {
            is ChoiceMessage.Observed -> take(message.observation)
            is ChoiceMessage.Rated -> message.ratings.forEach { take(it) }
            is ChoiceMessage.EvidenceTold -> message.readings.forEach { pool.merge(it.cell, it.tally) }
            is ChoiceMessage.QuarantinesTold -> adopt(snapshot.quarantines.merge(message.quarantines))
        }

    private fun take(observation: StepObservation) {
        pool.record(observation.subject, clock.millis()) {
            it.plusRequest(observation.failed, observation.millisecondsPerToken, observation.confidence)
        }
        if (observation.delivered && !observation.failed) {
            pending.expect(
                observation.requestId,
                RatedAnswer(observation.subject, observation.confidence, observation.escalated),
            )
        }
    }

    private fun take(rating: Rating) {
        if (rating.rating.isNaN() || rating.rating !in 0.0..1.0) return
        val answer = pending.take(rating.requestId) ?: return
        pool.record(answer.subject, clock.millis()) { tally ->
            if (answer.escalated) {
                tally.plusEscalatedRating(
                    rating.rating,
                )
            } else {
                tally.plusRating(rating.rating, answer.confidence)
            }
        }
    }

    private fun tick() {
        val now = clock.millis()
        pool.advance(now)
        refillToTell()
        if (now - lastEvaluation < EVALUATION_MILLIS) return
        lastEvaluation = now
        evaluate(now)
    }

    private fun evaluate(now: Long) {
        val index = holder.index
        if (now - lastDistrustCheck >= DISTRUST_CHECK_MILLIS) {
            lastDistrustCheck = now
            noteDistrust(RatingAnomalyDetector.distrustedBuckets(pool.totals))
        }
        val held = snapshot.quarantines.withoutSuperseded { index.version(it)?.definedIn }
        windows.advance(now)
        val policy = QuarantinePolicy(routerId, limits())
        val found = policy.decide(index.catalogue, held, pool.totals, windows.windows(), now)
        found.forEach { announce(it) }
        val quarantines = found.fold(held) { set, quarantine -> set.plus(quarantine) }
        snapshot = ChoiceSnapshot.of(index, pool.totals, quarantines, distrusted, now)
    }

    private fun adopt(quarantines: QuarantineSet) {
        val news = quarantines.all - snapshot.quarantines.all.toSet()
        news.forEach { announce(it) }
        snapshot = ChoiceSnapshot.of(holder.index, pool.totals, quarantines, distrusted, clock.millis())
    }

    private fun announce(quarantine: Quarantine): Unit =
        LogEvent.VERSION_QUARANTINED.log(logger) {
            "version=${quarantine.version} definedIn=${quarantine.definedIn} by=${quarantine.by} " +
                "evidence=${quarantine.evidence}"
        }

    private fun noteDistrust(buckets: Set<Long>) {
        if ((buckets - distrusted).isNotEmpty()) {
            LogEvent.RATINGS_DISTRUSTED.log(logger) { "buckets=${buckets - distrusted}" }
        }
        distrusted = buckets
    }

    private fun refillToTell() {
        val missing = toTell.remainingCapacity()
        if (missing < MAXIMUM_TO_TELL / 2) return
        val rolledOut =
            holder.index.catalogue.models
                .filter { it.rollOut != null }
                .flatMap { listOf(it.version, it.rollOut!!.predecessor).map { version -> it.model to version } }
                .toSet()
        pool
            .nextToGossip(missing) { (it.version.model to it.version.version) in rolledOut }
            .forEach { (cell, tally) -> toTell.offer(EvidenceUpdate(cell, tally)) }
    }

    private companion object {
        const val RING = 8_192
        const val MAXIMUM_TO_TELL = 128
        const val MAXIMUM_PENDING_RATINGS = 50_000
        const val EVALUATION_MILLIS = 1_000L
        const val DISTRUST_CHECK_MILLIS = 5_000L
        val TICK = 250.milliseconds
    }
}
