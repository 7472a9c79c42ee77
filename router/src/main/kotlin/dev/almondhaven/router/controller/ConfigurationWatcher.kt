package dev.almondhaven.router.controller

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.right
import dev.almondhaven.decision.distribution.CallBudget
import dev.almondhaven.decision.distribution.ConfigurationFreshness
import dev.almondhaven.decision.distribution.FullJitter
import dev.almondhaven.decision.distribution.WatchPlan
import dev.almondhaven.decision.membership.FleetView
import dev.almondhaven.model.Generation
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.platform.ConfigurationStore
import dev.almondhaven.platform.ObjectStore
import dev.almondhaven.platform.PlatformError
import dev.almondhaven.platform.Revision
import io.github.oshai.kotlinlogging.KotlinLogging
import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Keeps a [CatalogueHolder] up to date from the platform: a router that the [plan] names watches the head, the others
 * read it now and then and otherwise rely on what their peers tell.
 */
public class ConfigurationWatcher(
    private val objects: ObjectStore,
    private val holder: CatalogueHolder,
    private val freshness: ConfigurationFreshness,
    private val view: FleetView,
    private val watchWait: Duration,
    private val random: UniformRandomProvider,
    private val clock: NanoClock = NanoClock.SYSTEM,
    private val plan: WatchPlan = WatchPlan(),
) : AutoCloseable {
    private val jitter = FullJitter(FIRST_RETRY, LONGEST_RETRY, random)
    private val budget = CallBudget(CALLS_PER_SECOND, CALL_BURST, clock.nanos())
    private var watchFrom: Revision? = null
    private var headGeneration: Generation? = null
    private var retryAt = clock.nanos()
    private var pollAt = clock.nanos()

    /** Whether the platform answered the last call. */
    @Volatile
    public var platformReachable: Boolean = true
        private set

    @Volatile
    private var duty: DutyThread<Unit>? = null

    /** Starts the watching thread. */
    public fun start() {
        duty = DutyThread.start("configuration-watch", RING, TICK, onTick = ::refresh) { refresh() }
    }

    override fun close() {
        duty?.stop(1.milliseconds)
    }

    /** Makes the calls that are due; blocks for as long as a watch waits. */
    internal fun refresh() {
        val now = clock.nanos()
        val watches = plan.watches(view)
        val due = now >= retryAt && (watches || now >= pollAt)
        if (!due || !budget.take(now)) return
        val revision = watchFrom
        val outcome = if (watches && revision != null) watchOnce(revision) else readHead()
        outcome.fold(::failed) { succeeded() }
    }

    private fun succeeded() {
        platformReachable = true
        jitter.succeeded()
        val now = clock.nanos()
        val stale = freshness.staleSince(now, holder.generation) != null
        val interval = if (stale) STALE_POLL else plan.pollInterval(view.members.size)
        pollAt = now + jitter.within(interval * 2).inWholeNanoseconds
    }

    private fun failed(error: PlatformError) {
        platformReachable = false
        watchFrom = null
        retryAt = clock.nanos() + jitter.failed().inWholeNanoseconds
        LogEvent.PLATFORM_READ_FAILED.log(logger) { "error=$error" }
    }

    private fun readHead(): Either<PlatformError, Unit> {
        val askedAt = clock.nanos()
        return objects.list(ConfigurationStore.HEAD_KEY.value, limit = 1).map { page ->
            take(page.objects.firstOrNull()?.value, askedAt)
            watchFrom = page.revision
        }
    }

    private fun watchOnce(revision: Revision): Either<PlatformError, Unit> {
        val askedAt = clock.nanos()
        return objects.watch(ConfigurationStore.HEAD_KEY.value, revision, watchWait).flatMap { result ->
            if (result.changes.isNotEmpty()) return readHead()
            watchFrom = result.revision
            headGeneration?.let { freshness.confirmed(it, askedAt) }
            Unit.right()
        }
    }

    private fun take(
        value: String?,
        askedAt: Long,
    ) {
        val catalogue = value?.let { ConfigurationStore.decode(it).catalogue } ?: return
        holder.offer(catalogue)
        headGeneration = catalogue.generation.takeUnless { holder.diverges(catalogue) }
        headGeneration?.let { freshness.confirmed(it, askedAt) }
        if (catalogue.generation < holder.generation) {
            LogEvent.CONFIGURATION_STALE_READ.log(logger) { "read=${catalogue.generation} held=${holder.generation}" }
        }
    }

    private companion object {
        const val RING = 2
        const val CALLS_PER_SECOND = 2.0
        const val CALL_BURST = 10
        val TICK = 100.milliseconds
        val FIRST_RETRY = 500.milliseconds
        val LONGEST_RETRY = 10.seconds
        val STALE_POLL = 15.seconds
    }
}
