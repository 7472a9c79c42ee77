package dev.almondhaven.router.endpoint

import dev.almondhaven.decision.endpoint.EndpointChoice
import dev.almondhaven.decision.limit.EnqueueResult
import dev.almondhaven.decision.limit.FairQueue
import dev.almondhaven.decision.limit.QueuedRequest
import dev.almondhaven.model.NanoClock
import dev.almondhaven.router.controller.ActorThread
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How the wait for an endpoint ended. */
internal sealed interface QueueResult {
    /** The request leaves the queue with [choice]. */
    data class Admitted(
        val choice: EndpointChoice,
    ) : QueueResult

    /** The request cannot start in time, or its organisation's queue or the mailbox is full. */
    data class Refused(
        val retryAfter: Duration,
    ) : QueueResult
}

/**
 * A request that waits for an endpoint of one pool.
 *
 * @property choose tries to choose an endpoint and to take a slot there.
 * @property hasEnded whether the request has ended, for example because its caller has disconnected.
 */
internal class WaitingRequest(
    val choose: () -> EndpointChoice,
    val hasEnded: () -> Boolean,
) {
    val result: CompletableFuture<QueueResult> = CompletableFuture()
}

/**
 * Queues requests while every endpoint of their pool is at its limit: one fair queue per pool, all on one actor thread.
 * A full mailbox refuses new requests. If it drops the notice of a freed slot, the next tick serves the queue instead.
 */
internal class AdmissionQueue(
    private val clock: NanoClock,
) : AutoCloseable {
    private sealed interface Message {
        class Enqueue(
            val key: PoolKey,
            val request: QueuedRequest<WaitingRequest>,
        ) : Message

        class SlotFreed(
            val key: PoolKey,
        ) : Message
    }

    private val queues = HashMap<PoolKey, FairQueue<WaitingRequest>>()
    private val counts = ConcurrentHashMap<PoolKey, AtomicInteger>()
    private val actor = ActorThread.start("waiting", MAILBOX_CAPACITY, TICK_INTERVAL, ::tick, ::handle)

    /** The number of requests waiting for [key]. */
    fun waiting(key: PoolKey): Int = counts[key]?.get() ?: 0

    /** Adds [request] to the queue for [key]; the future completes when it leaves the queue. */
    fun enqueue(
        key: PoolKey,
        request: QueuedRequest<WaitingRequest>,
    ): CompletableFuture<QueueResult> {
        count(key).incrementAndGet()
        if (!actor.offer(Message.Enqueue(key, request))) finish(key, request, QueueResult.Refused(RETRY_AFTER))
        return request.value.result
    }

    /** Signals that a slot was freed at an endpoint of [key]. */
    fun slotFreed(key: PoolKey) {
        if (waiting(key) > 0) actor.offer(Message.SlotFreed(key))
    }

    override fun close(): Unit = actor.close()

    private fun handle(message: Message) {
        when (message) {
            is Message.Enqueue -> handleEnqueue(message)
            is Message.SlotFreed -> queues[message.key]?.let { serveWaiting(message.key, it) }
        }
    }

    private fun handleEnqueue(message: Message.Enqueue) {
        val queue = queues.getOrPut(message.key) { FairQueue() }
        when (val result = queue.offer(message.request, clock.nanos())) {
            is EnqueueResult.Refused -> finish(message.key, message.request, QueueResult.Refused(result.retryAfter))
            EnqueueResult.Waiting -> serveWaiting(message.key, queue)
        }
    }

    private fun tick() {
        val now = clock.nanos()
        queues.forEach { (key, queue) ->
            queue.expired(now).forEach { finish(key, it, QueueResult.Refused(RETRY_AFTER)) }
            serveWaiting(key, queue)
        }
    }

    private fun serveWaiting(
        key: PoolKey,
        queue: FairQueue<WaitingRequest>,
    ) {
        while (true) {
            val next = queue.peek() ?: return
            val choice = if (next.value.hasEnded()) EndpointChoice.NoneLeft else next.value.choose()
            if (choice is EndpointChoice.AllBusy) return
            queue.poll(clock.nanos())
            finish(key, next, QueueResult.Admitted(choice))
        }
    }

    private fun finish(
        key: PoolKey,
        request: QueuedRequest<WaitingRequest>,
        result: QueueResult,
    ) {
        count(key).decrementAndGet()
        request.value.result.complete(result)
    }

    private fun count(key: PoolKey): AtomicInteger = counts.computeIfAbsent(key) { AtomicInteger() }

    private companion object {
        const val MAILBOX_CAPACITY = 8_192
        val TICK_INTERVAL = 10.milliseconds
        val RETRY_AFTER = 1.seconds
    }
}
