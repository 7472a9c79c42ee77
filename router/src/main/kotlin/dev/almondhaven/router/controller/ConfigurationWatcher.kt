package dev.almondhaven.router.controller

import arrow.core.Either
import arrow.core.right
import dev.almondhaven.model.LogEvent
import dev.almondhaven.platform.ConfigurationStore
import dev.almondhaven.platform.ObjectStore
import dev.almondhaven.platform.PlatformError
import dev.almondhaven.platform.Revision
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Keeps a [CatalogueHolder] up to date from the platform: reads the head, then watches it for changes. */
public class ConfigurationWatcher(
    private val objects: ObjectStore,
    private val holder: CatalogueHolder,
    private val watchWait: Duration,
) : AutoCloseable {
    private val store = ConfigurationStore(objects)
    private var watchFrom: Revision? = null

    @Volatile
    private var duty: DutyThread<Unit>? = null

    /** Starts the watching thread. */
    public fun start() {
        duty = DutyThread.start("configuration-watch", RING, RETRY_INTERVAL, onTick = ::refresh) { refresh() }
    }

    override fun close() {
        duty?.stop(Duration.ZERO + 1.milliseconds)
    }

    private fun refresh() {
        val revision = watchFrom
        val outcome = if (revision == null) readFromStart() else watchOnce(revision)
        outcome.onLeft { error ->
            watchFrom = null
            LogEvent.PLATFORM_READ_FAILED.log(logger) { "error=$error" }
        }
    }

    private fun readFromStart(): Either<PlatformError, Unit> {
        val start = objects.list(ConfigurationStore.HEAD_KEY.value, limit = 1).fold({ return Either.Left(it) }, { it })
        start.objects.firstOrNull()?.let { take(it.value) }
        watchFrom = start.revision
        return Unit.right()
    }

    private fun watchOnce(revision: Revision): Either<PlatformError, Unit> {
        val result = objects.watch(ConfigurationStore.HEAD_KEY.value, revision, watchWait)
        val changes = result.fold({ return Either.Left(it) }, { it })
        if (changes.changes.isNotEmpty()) {
            store.head().fold({ return Either.Left(it) }, { head -> head?.let { holder.offer(it.head.catalogue) } })
        }
        watchFrom = changes.revision
        return Unit.right()
    }

    private fun take(value: String) {
        val head = ConfigurationStore.decode(value)
        if (head.generation < holder.index.generation) {
            LogEvent.CONFIGURATION_STALE_READ.log(logger) { "read=${head.generation} held=${holder.index.generation}" }
        }
        holder.offer(head.catalogue)
    }

    private companion object {
        const val RING = 2
        val RETRY_INTERVAL = 250.milliseconds
    }
}
