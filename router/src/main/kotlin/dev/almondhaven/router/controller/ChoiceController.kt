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
 * The outcome of a request's run on one version.
 *
 * @property delivered whether the caller receives the answer, so that a rating of it may follow.
 * @property escalated whether a cascade ran another version first.
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

/** A tally that routers exchange: the newest known value of one evidence cell. */
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

    class EvidenceReceived(
        val updates: List<EvidenceUpdate>,
    ) : ChoiceMessage

    class QuarantinesReceived(
        val quarantines: QuarantineSet,
    ) : ChoiceMessage
}

/**
 * Maintains this router's evidence about model versions on an actor thread: collects observations, ratings and the
 * evidence of other routers, tests versions for regressions, and publishes a [ChoiceSnapshot] that requests read.
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
    private val pending = PendingRatings(MAX_PENDING_RATINGS)
    private val outgoingUpdates = ArrayBlockingQueue<EvidenceUpdate>(MAX_OUTGOING_UPDATES)
    private var distrustedBuckets = emptySet<Long>()
    private var lastEvaluationMillis = 0L
    private var lastDistrustCheckMillis = 0L

    @Volatile
    private var actor: ActorThread<ChoiceMessage>? = null

    /** The snapshot that requests read. */
    @Volatile
    var snapshot: ChoiceSnapshot = ChoiceSnapshot.EMPTY
        private set

    fun start() {
        actor = ActorThread.start("choice", MAILBOX_CAPACITY, TICK_INTERVAL, onTick = ::tick, onMessage = ::handle)
    }

    override fun close() {
        actor?.stop()
    }

    /** Records an ended step. A full mailbox drops it; this is acceptable because the evidence is a sample anyway. */
    fun observe(observation: StepObservation) {
        actor?.offer(ChoiceMessage.Observed(observation))
    }

    /** Records ratings, in any order and possibly repeated; only ratings of this router's own answers count. */
    fun rate(ratings: List<Rating>) {
        actor?.offer(ChoiceMessage.Rated(ratings))
    }

    /** Merges evidence of other routers. */
    fun merge(updates: List<EvidenceUpdate>) {
        actor?.offer(ChoiceMessage.EvidenceReceived(updates))
    }

    /** Merges quarantines that other routers know of. */
    fun merge(quarantines: QuarantineSet) {
        if (snapshot.quarantines.merge(quarantines) != snapshot.quarantines) {
            actor?.offer(ChoiceMessage.QuarantinesReceived(quarantines))
        }
    }

    /** The next evidence update to gossip, or null if there is none. */
    fun nextEvidenceUpdate(): EvidenceUpdate? = outgoingUpdates.poll()

    /** The state of roll-outs, as reported to operators. */
    fun report(): RollOutReport {
        val current = snapshot
        return RollOutReport.of(holder.index.catalogue, current.quarantines, current.ratingsDistrusted, clock.millis())
    }

    private fun handle(message: ChoiceMessage): Unit =
        when (message) {
            is ChoiceMessage.Observed -> recordObservation(message.observation)
            is ChoiceMessage.Rated -> message.ratings.forEach { recordRating(it) }
            is ChoiceMessage.EvidenceReceived -> message.updates.forEach { pool.merge(it.cell, it.tally) }
            is ChoiceMessage.QuarantinesReceived -> adoptQuarantines(snapshot.quarantines.merge(message.quarantines))
        }

    private fun recordObservation(observation: StepObservation) {
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

    private fun recordRating(rating: Rating) {
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
        refillOutgoingUpdates()
        if (now - lastEvaluationMillis < EVALUATION_INTERVAL_MILLIS) return
        lastEvaluationMillis = now
        evaluate(now)
    }

    private fun evaluate(now: Long) {
        val index = holder.index
        if (now - lastDistrustCheckMillis >= DISTRUST_CHECK_INTERVAL_MILLIS) {
            lastDistrustCheckMillis = now
            updateDistrustedBuckets(RatingAnomalyDetector.distrustedBuckets(pool.totals))
        }
        val currentQuarantines = snapshot.quarantines.withoutSuperseded { index.version(it)?.definedIn }
        windows.advance(now)
        val policy = QuarantinePolicy(routerId, limits())
        val newQuarantines = policy.decide(index.catalogue, currentQuarantines, pool.totals, windows.windows(), now)
        newQuarantines.forEach { logQuarantine(it) }
        val quarantines = newQuarantines.fold(currentQuarantines) { set, quarantine -> set.plus(quarantine) }
        snapshot = ChoiceSnapshot.of(index, pool.totals, quarantines, distrustedBuckets, now)
    }

    private fun adoptQuarantines(quarantines: QuarantineSet) {
        val newQuarantines = quarantines.all - snapshot.quarantines.all.toSet()
        newQuarantines.forEach { logQuarantine(it) }
        snapshot = ChoiceSnapshot.of(holder.index, pool.totals, quarantines, distrustedBuckets, clock.millis())
    }

    private fun logQuarantine(quarantine: Quarantine): Unit =
        LogEvent.VERSION_QUARANTINED.log(logger) {
            "version=${quarantine.version} definedIn=${quarantine.definedIn} by=${quarantine.by} " +
                "evidence=${quarantine.evidence}"
        }

    private fun updateDistrustedBuckets(buckets: Set<Long>) {
        if ((buckets - distrustedBuckets).isNotEmpty()) {
            LogEvent.RATINGS_DISTRUSTED.log(logger) { "buckets=${buckets - distrustedBuckets}" }
        }
        distrustedBuckets = buckets
    }

    /** Refills the queue of updates to gossip, those about versions in a roll-out first. */
    private fun refillOutgoingUpdates() {
        val freeCapacity = outgoingUpdates.remainingCapacity()
        if (freeCapacity < MAX_OUTGOING_UPDATES / 2) return
        val versionsInRollOut =
            holder.index.catalogue.models
                .filter { it.rollOut != null }
                .flatMap { listOf(it.version, it.rollOut!!.predecessor).map { version -> it.model to version } }
                .toSet()
        pool
            .nextToGossip(freeCapacity) { (it.version.model to it.version.version) in versionsInRollOut }
            .forEach { (cell, tally) -> outgoingUpdates.offer(EvidenceUpdate(cell, tally)) }
    }

    private companion object {
        const val MAILBOX_CAPACITY = 8_192
        const val MAX_OUTGOING_UPDATES = 128
        const val MAX_PENDING_RATINGS = 50_000
        const val EVALUATION_INTERVAL_MILLIS = 1_000L
        const val DISTRUST_CHECK_INTERVAL_MILLIS = 5_000L
        val TICK_INTERVAL = 250.milliseconds
    }
}
