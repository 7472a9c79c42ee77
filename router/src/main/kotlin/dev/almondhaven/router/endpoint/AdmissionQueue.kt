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

/** How waiting for an endpoint ended. */
internal sealed interface QueueResult {
    /** It is the request's turn at the chosen endpoint. */
    data class Admitted(
        val choice: EndpointChoice,
    ) : QueueResult

    /** The request can't be served in time. */
    data class Refused(
        val retryAfter: Duration,
    ) : QueueResult
}

/** A request that waits for an endpoint of one pool. */
internal class WaitingRequest(
    val choose: () -> EndpointChoice,
    val hasLeft: () -> Boolean,
) {
    val turn: CompletableFuture<QueueResult> = CompletableFuture()
}

/**
 * Where requests wait while every endpoint of their pool is at its limit: one fair queue for each pool, all on one duty
 * thread. A full ring refuses the newcomer; a lost hint that a slot is free is made up for by the next tick.
 */
internal class AdmissionQueue(
    private val clock: NanoClock,
) : AutoCloseable {
    private sealed interface Message {
        class Enter(
            val key: PoolKey,
            val request: QueuedRequest<WaitingRequest>,
        ) : Message

        class SlotFree(
            val key: PoolKey,
        ) : Message
    }

    private val queues = HashMap<PoolKey, FairQueue<WaitingRequest>>()
    private val counts = ConcurrentHashMap<PoolKey, AtomicInteger>()
    private val duty = ActorThread.start("waiting", RING_CAPACITY, TICK, ::tick, ::handle)

    /** Requests that wait for [key]. */
    fun waiting(key: PoolKey): Int = counts[key]?.get() ?: 0

    /** Lets [request] wait; its turn comes through the waiter's future. */
    fun enter(
        key: PoolKey,
        request: QueuedRequest<WaitingRequest>,
    ): CompletableFuture<QueueResult> {
        count(key).incrementAndGet()
        if (!duty.offer(Message.Enter(key, request))) leave(key, request, QueueResult.Refused(RETRY_AFTER))
        return request.value.turn
    }

    /** Hints that a slot became free in [key]. */
    fun slotFree(key: PoolKey) {
        if (waiting(key) > 0) duty.offer(Message.SlotFree(key))
    }

    override fun close(): Unit = duty.close()

    private fun handle(message: Message) {
        when (message) {
            is Message.Enter -> admit(message)
            is Message.SlotFree -> queues[message.key]?.let { serve(message.key, it) }
        }
    }

    private fun admit(message: Message.Enter) {
        val queue = queues.getOrPut(message.key) { FairQueue() }
        when (val result = queue.offer(message.request, clock.nanos())) {
            is EnqueueResult.Refused -> leave(message.key, message.request, QueueResult.Refused(result.retryAfter))
            EnqueueResult.Waiting -> serve(message.key, queue)
        }
    }

    private fun tick() {
        val now = clock.nanos()
        queues.forEach { (key, queue) ->
            queue.expired(now).forEach { leave(key, it, QueueResult.Refused(RETRY_AFTER)) }
            serve(key, queue)
        }
    }

    private fun serve(
        key: PoolKey,
        queue: FairQueue<WaitingRequest>,
    ) {
        while (true) {
            val next = queue.peek() ?: return
            val choice = if (next.value.hasLeft()) EndpointChoice.NoneLeft else next.value.choose()
            if (choice is EndpointChoice.AllBusy) return
            queue.poll(clock.nanos())
            leave(key, next, QueueResult.Admitted(choice))
        }
    }

    private fun leave(
        key: PoolKey,
        request: QueuedRequest<WaitingRequest>,
        turn: QueueResult,
    ) {
        count(key).decrementAndGet()
        request.value.turn.complete(turn)
    }

    private fun count(key: PoolKey): AtomicInteger = counts.computeIfAbsent(key) { AtomicInteger() }

    private companion object {
        const val RING_CAPACITY = 8_192
        val TICK = 10.milliseconds
        val RETRY_AFTER = 1.seconds
    }
}
