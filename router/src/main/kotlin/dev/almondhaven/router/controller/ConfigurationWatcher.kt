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

/** Keeps a [CatalogueHolder] up to date from the platform, with the reads and watches that a [WatchSchedule] plans. */
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
    private var watchRevision = Revision(0)
    private var headGeneration: Generation? = null

    /** Whether the last call to the platform succeeded. */
    @Volatile
    public var platformReachable: Boolean = true
        private set

    @Volatile
    private var actor: ActorThread<Unit>? = null

    /** Starts the thread that watches the configuration. */
    public fun start() {
        actor =
            ActorThread.start("configuration-watch", MAILBOX_CAPACITY, TICK_INTERVAL, onTick = ::refresh) { refresh() }
    }

    override fun close() {
        actor?.stop(1.milliseconds)
    }

    /** Makes the call that is due, if any; blocks while a watch waits for a change. */
    internal fun refresh() {
        val outcome =
            when (schedule.next(clock.nanos(), view)) {
                WatchCall.NONE -> return
                WatchCall.READ -> readHead()
                WatchCall.WATCH -> watchOnce()
            }
        outcome.fold(::handleFailure) { handleSuccess() }
    }

    private fun handleSuccess() {
        platformReachable = true
        val now = clock.nanos()
        schedule.succeeded(now, view.members.size, freshness.staleSince(now, holder.generation) != null)
    }

    private fun handleFailure(error: PlatformError) {
        platformReachable = false
        schedule.failed(clock.nanos())
        LogEvent.PLATFORM_READ_FAILED.log(logger) { "error=$error" }
    }

    private fun readHead(): Either<PlatformError, Unit> {
        val requestedAt = clock.nanos()
        return objects.list(ConfigurationStore.HEAD_KEY.value, limit = 1).map { page ->
            offerConfiguration(page.objects.firstOrNull()?.value, requestedAt)
            watchRevision = page.revision
        }
    }

    private fun watchOnce(): Either<PlatformError, Unit> {
        val requestedAt = clock.nanos()
        return objects.watch(ConfigurationStore.HEAD_KEY.value, watchRevision, watchWait).flatMap { result ->
            if (result.changes.isNotEmpty()) return readHead()
            watchRevision = result.revision
            headGeneration?.let { freshness.recordConfirmation(it, requestedAt) }
            Unit.right()
        }
    }

    private fun offerConfiguration(
        value: String?,
        requestedAt: Long,
    ) {
        val catalogue = value?.let { ConfigurationStore.decode(it).catalogue } ?: return
        holder.offer(catalogue)
        headGeneration = catalogue.generation.takeUnless { holder.diverges(catalogue) }
        headGeneration?.let { freshness.recordConfirmation(it, requestedAt) }
        if (catalogue.generation < holder.generation) {
            LogEvent.CONFIGURATION_STALE_READ.log(logger) { "read=${catalogue.generation} held=${holder.generation}" }
        }
    }

    private companion object {
        const val MAILBOX_CAPACITY = 2
        val TICK_INTERVAL = 100.milliseconds
    }
}
