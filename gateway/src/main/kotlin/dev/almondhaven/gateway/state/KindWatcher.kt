package dev.almondhaven.gateway.state

import dev.almondhaven.decision.retry.FullJitterBackoff
import dev.almondhaven.model.LogEvent
import dev.almondhaven.platform.StoreCall
import dev.almondhaven.platform.StoreChange
import dev.almondhaven.platform.StoreKind
import dev.almondhaven.platform.StoredObject
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import org.apache.commons.rng.UniformRandomProvider
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Follows one kind of objects: lists it, then watches from the list's revision. Lists anew when the history is gone.
 * Lives on the event loop.
 *
 * @property grouping pause after a change, in which others may follow.
 * @property onList called with a whole list.
 * @property onChanges called with changes since then.
 */
internal class KindWatcher(
    private val kind: StoreKind,
    private val store: StoreClient,
    private val loop: EventLoop,
    private val random: UniformRandomProvider,
    private val grouping: Duration,
    private val onList: (List<StoredObject>) -> Unit,
    private val onChanges: (List<StoreChange>) -> Unit,
) {
    private val backoff = FullJitterBackoff(FIRST_PAUSE, LONGEST_PAUSE)
    private var failures = 0
    private var watchedFrom = 0L

    /** Set while a watch waits. */
    private var giveUpWatch: (() -> Unit)? = null

    fun start() {
        store.onRecovery(::watchAnew)
        list(after = null, found = emptyList())
    }

    /** A watch that was begun before or while the store failed may never be answered. */
    private fun watchAnew() {
        val giveUp = giveUpWatch ?: return
        giveUp()
        watch(watchedFrom)
    }

    private fun list(
        after: String?,
        found: List<StoredObject>,
    ) {
        store.call(StoreCall.list(kind, after), CALL_PATIENCE) { answer ->
            val page = answer?.takeIf { it.status == OK }?.let { StoreCall.page(it.body) }
            if (page == null) return@call retry(answer) { list(after = null, found = emptyList()) }
            failures = 0
            val all = found + page.objects
            if (page.next != null) return@call list(page.next, all)
            onList(all)
            watch(page.revision)
        }
    }

    private fun watch(revision: Long) {
        watchedFrom = revision
        giveUpWatch = null
        var answered = false
        val giveUp =
            store.call(StoreCall.watch(kind, revision, WATCH_WAIT), WATCH_WAIT + CALL_PATIENCE) { answer ->
                answered = true
                giveUpWatch = null
                watched(revision, answer)
            }
        if (!answered) giveUpWatch = giveUp
    }

    private fun watched(
        revision: Long,
        answer: StoreResponse?,
    ) {
        if (answer?.status == StoreCall.HISTORY_GONE) {
            LogEvent.STORE_HISTORY_GONE.log(logger) { "kind=$kind revision=$revision" }
            return list(after = null, found = emptyList())
        }
        val changes = answer?.takeIf { it.status == OK }?.let { StoreCall.changes(it.body) }
        if (changes == null) return retry(answer) { watch(revision) }
        failures = 0
        if (changes.changed.isNotEmpty()) onChanges(changes.changed)
        // Changes come in groups; a short pause lets one call bring the rest of a group.
        loop.schedule({ watch(changes.revision) }, grouping.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun retry(
        answer: StoreResponse?,
        action: () -> Unit,
    ) {
        failures++
        if (answer != null) {
            LogEvent.STORE_CALL_FAILED.log(
                logger,
            ) { "kind=$kind status=${answer.status} body=${answer.body.take(SHOWN)}" }
        }
        val pause = backoff.delay(failures, random) + SHORTEST_PAUSE
        loop.schedule(action, pause.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val OK = 200
        const val SHOWN = 120

        /** The store ends a watch after 30 s at most; shorter ones leave room for its answer. */
        val WATCH_WAIT = 28.seconds

        /** A slow store takes some hundred milliseconds for an answer. */
        val CALL_PATIENCE = 1_500.milliseconds
        val SHORTEST_PAUSE = 50.milliseconds
        val FIRST_PAUSE = 200.milliseconds

        /** A returning store is noticed soon enough to catch up within the bounds of configuration changes. */
        val LONGEST_PAUSE = 500.milliseconds
    }
}
