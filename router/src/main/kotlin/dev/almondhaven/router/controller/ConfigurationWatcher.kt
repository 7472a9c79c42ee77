package dev.almondhaven.router.controller

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.right
import dev.almondhaven.decision.distribution.ConfigurationFreshness
import dev.almondhaven.decision.distribution.WatchCall
import dev.almondhaven.decision.distribution.WatchPlan
import dev.almondhaven.decision.distribution.WatchSchedule
import dev.almondhaven.decision.membership.FleetView
import dev.almondhaven.model.Generation
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.store.ConfigurationStore
import dev.almondhaven.store.ObjectStore
import dev.almondhaven.store.PlatformError
import dev.almondhaven.store.Revision
import io.github.oshai.kotlinlogging.KotlinLogging
import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * Keeps a [CatalogueHolder] up to date from the platform, with the calls that a [WatchSchedule] asks for.
 */
public class ConfigurationWatcher(
    private val objects: ObjectStore,
    private val holder: CatalogueHolder,
    private val freshness: ConfigurationFreshness,
    private val view: FleetView,
    private val watchWait: Duration,
    random: UniformRandomProvider,
    private val clock: NanoClock = NanoClock.SYSTEM,
    plan: WatchPlan = WatchPlan(),
) : AutoCloseable {
    private val schedule = WatchSchedule(plan, random, clock.nanos())
    private var watchFrom = Revision(0)
    private var headGeneration: Generation? = null

    /** Whether the platform answered the last call. */
    @Volatile
    public var platformReachable: Boolean = true
        private set

    @Volatile
    private var duty: ActorThread<Unit>? = null

    /** Starts the watching thread. */
    public fun start() {
        duty = ActorThread.start("configuration-watch", RING, TICK, onTick = ::refresh) { refresh() }
    }

    override fun close() {
        duty?.stop(1.milliseconds)
    }

    /** Makes the calls that are due; blocks for as long as a watch waits. */
    internal fun refresh() {
        val outcome =
            when (schedule.next(clock.nanos(), view)) {
                WatchCall.NONE -> return
                WatchCall.READ -> readHead()
                WatchCall.WATCH -> watchOnce()
            }
        outcome.fold(::failed) { succeeded() }
    }

    private fun succeeded() {
        platformReachable = true
        val now = clock.nanos()
        schedule.succeeded(now, view.members.size, freshness.staleSince(now, holder.generation) != null)
    }

    private fun failed(error: PlatformError) {
        platformReachable = false
        schedule.failed(clock.nanos())
        LogEvent.PLATFORM_READ_FAILED.log(logger) { "error=$error" }
    }

    private fun readHead(): Either<PlatformError, Unit> {
        val askedAt = clock.nanos()
        return objects.list(ConfigurationStore.HEAD_KEY.value, limit = 1).map { page ->
            take(page.objects.firstOrNull()?.value, askedAt)
            watchFrom = page.revision
        }
    }

    private fun watchOnce(): Either<PlatformError, Unit> {
        val askedAt = clock.nanos()
        return objects.watch(ConfigurationStore.HEAD_KEY.value, watchFrom, watchWait).flatMap { result ->
            if (result.changes.isNotEmpty()) return readHead()
            watchFrom = result.revision
            headGeneration?.let { freshness.recordConfirmation(it, askedAt) }
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
        headGeneration?.let { freshness.recordConfirmation(it, askedAt) }
        if (catalogue.generation < holder.generation) {
            LogEvent.CONFIGURATION_STALE_READ.log(logger) { "read=${catalogue.generation} held=${holder.generation}" }
        }
    }

    private companion object {
        const val RING = 2
        val TICK = 100.milliseconds
    }
}
