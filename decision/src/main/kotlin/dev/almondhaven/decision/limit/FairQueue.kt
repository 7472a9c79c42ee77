package dev.almondhaven.decision.limit

import dev.almondhaven.model.OrganisationId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How urgent a request is among those of its own organisation.
 *
 * @property engineValue the priority sent to engines; lower values are more urgent.
 */
public enum class Priority(
    public val engineValue: Int,
) {
    HIGH(-1),
    NORMAL(0),
    LOW(1),
}

/**
 * A request to queue.
 *
 * @property weight fair-queueing weight of its organisation.
 * @property cost expected work, in any unit that all entries share, for example tokens.
 * @property latestStart monotonic nanoseconds by which it has to start to meet its deadline.
 */
public class QueuedRequest<T>(
    public val value: T,
    public val organisation: OrganisationId,
    public val weight: Double,
    public val cost: Double,
    public val latestStart: Long,
    public val priority: Priority = Priority.NORMAL,
) {
    init {
        require(weight > 0) { "weight must be positive, got $weight" }
        require(cost > 0) { "cost must be positive, got $cost" }
    }
}

/** The result of [FairQueue.offer]. */
public sealed interface EnqueueResult {
    /** The request is queued. */
    public data object Waiting : EnqueueResult

    /** The request can't start in time, or its organisation's queue is full; it may be retried after [retryAfter]. */
    public data class Refused(
        public val retryAfter: Duration,
    ) : EnqueueResult
}

/**
 * Start-time fair queueing over organisations, each with a bounded queue: capacity is divided by weight, and a burst of
 * one organisation delays only that organisation. A request that can't start in time is refused when it is offered; one
 * that passes its latest start while queued is returned by [expired] instead of being served. Not thread-safe.
 *
 * @property maxQueueLength requests that may be queued for each organisation.
 */
public class FairQueue<T>(
    private val maxQueueLength: Int = DEFAULT_MAX_QUEUE_LENGTH,
) {
    private class OrganisationQueue<T>(
        val weight: Double,
    ) {
        val waiting: Map<Priority, ArrayDeque<QueuedRequest<T>>> = Priority.entries.associateWith { ArrayDeque() }
        var finishTag = 0.0

        val size: Int get() = waiting.values.sumOf { it.size }

        fun head(): QueuedRequest<T>? = waiting.values.firstOrNull { it.isNotEmpty() }?.first()
    }

    private val queues = LinkedHashMap<OrganisationId, OrganisationQueue<T>>()
    private val rate = DrainRate()
    private var virtualTime = 0.0

    /** Number of queued requests. */
    public var size: Int = 0
        private set

    /** Queues [request] if it can start in time. */
    public fun offer(
        request: QueuedRequest<T>,
        now: Long,
    ): EnqueueResult {
        val queue = queues.getOrPut(request.organisation) { OrganisationQueue(request.weight) }
        val wait = expectedWait(queue)
        if (queue.size >= maxQueueLength || now + wait.inWholeNanoseconds >= request.latestStart) {
            if (queue.size == 0) queues -= request.organisation
            return EnqueueResult.Refused(wait.coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
        }
        if (queue.size == 0) queue.finishTag = maxOf(queue.finishTag, virtualTime)
        queue.waiting.getValue(request.priority) += request
        size++
        return EnqueueResult.Waiting
    }

    /** The next request to serve, without removing it; null if none is queued. */
    public fun peek(): QueuedRequest<T>? = nextQueue()?.head()

    /** Removes and returns the next request to serve; null if none is queued. */
    public fun poll(now: Long): QueuedRequest<T>? {
        val queue = nextQueue() ?: return null
        val request = checkNotNull(queue.head()) { "a queue without requests was selected" }
        virtualTime = maxOf(virtualTime, queue.finishTag)
        queue.finishTag = startTag(queue) + request.cost / queue.weight
        remove(queue, request)
        rate.recordPoll(now)
        return request
    }

    /** Removes and returns every request whose latest start has passed. */
    public fun expired(now: Long): List<QueuedRequest<T>> {
        val late = queues.values.flatMap { queue -> queue.waiting.values.flatten() }.filter { it.latestStart <= now }
        late.forEach { remove(queues.getValue(it.organisation), it) }
        return late
    }

    private fun startTag(queue: OrganisationQueue<T>): Double = maxOf(queue.finishTag, virtualTime)

    private fun nextQueue(): OrganisationQueue<T>? = queues.values.filter { it.size > 0 }.minByOrNull { it.finishTag }

    private fun remove(
        queue: OrganisationQueue<T>,
        request: QueuedRequest<T>,
    ) {
        queue.waiting.getValue(request.priority) -= request
        size--
        if (size == 0) resetIdle()
    }

    /** Resets the virtual time once no request is queued, so that queues of inactive organisations don't accumulate. */
    private fun resetIdle() {
        queues.clear()
        virtualTime = 0.0
    }

    private fun expectedWait(queue: OrganisationQueue<T>): Duration {
        val perSecond = rate.perSecond ?: return Duration.ZERO
        val active = queues.values.filter { it.size > 0 || it === queue }
        val rateShare = queue.weight / active.sumOf { it.weight }
        return (queue.size / (perSecond * rateShare)).seconds
    }

    public companion object {
        public const val DEFAULT_MAX_QUEUE_LENGTH: Int = 256
        private val MIN_RETRY_AFTER = 1.seconds
        private val MAX_RETRY_AFTER = 60.seconds
    }
}

/** The smoothed rate at which a queue is served. */
internal class DrainRate {
    private var lastPoll: Long? = null
    private var intervalSeconds: Double = 0.0
    private var polls = 0

    /** Requests served per second; null until enough polls were recorded. */
    val perSecond: Double? get() = if (polls < MIN_POLLS) null else 1.0 / maxOf(intervalSeconds, MIN_INTERVAL_SECONDS)

    fun recordPoll(now: Long) {
        val previous = lastPoll
        lastPoll = now
        if (previous == null) return
        val since = (now - previous).nanoseconds
        // An idle period says nothing about the service rate.
        if (since > MAX_INTERVAL) return
        polls++
        val seconds = since.inWholeNanoseconds / NANOS_PER_SECOND
        intervalSeconds += (seconds - intervalSeconds) / minOf(polls, SMOOTHING_POLLS)
    }

    private companion object {
        const val MIN_POLLS = 8
        const val SMOOTHING_POLLS = 64
        const val MIN_INTERVAL_SECONDS = 1e-6
        const val NANOS_PER_SECOND = 1e9
        val MAX_INTERVAL = 5_000.milliseconds
    }
}
