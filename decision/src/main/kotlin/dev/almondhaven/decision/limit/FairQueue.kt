package dev.almondhaven.decision.limit

import dev.almondhaven.model.OrganisationId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How urgent a request is among those of its own organisation.
 *
 * @property engineValue what engines call it; the lower, the more urgent.
 */
public enum class Priority(
    public val engineValue: Int,
) {
    HIGH(-1),
    NORMAL(0),
    LOW(1),
}

/**
 * A request that waits.
 *
 * @property weight weight of its organisation.
 * @property cost expected work, in any unit that all entries weight, for example tokens.
 * @property latestStart monotonic nanoseconds by which it has to start to make its deadline.
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

/** What became of a request that wants to wait. */
public sealed interface EnqueueResult {
    /** It waits. */
    public data object Waiting : EnqueueResult

    /** It can't be served in time, or its organisation's queue is full; [retryAfter] is when there is likely room. */
    public data class Refused(
        public val retryAfter: Duration,
    ) : EnqueueResult
}

/**
 * Start-time fair queueing over organisations with a bounded queue each: capacity is divided by shares, and one
 * organisation's burst delays only itself. Work that can't start in time is refused at the door, and what has
 * passed its latest start while waiting is handed out by [expired] instead of being served. Belongs to one thread.
 *
 * @property maxQueueLength requests that may wait for each organisation.
 */
public class FairQueue<T>(
    private val maxQueueLength: Int = DEFAULT_MAX_QUEUE_LENGTH,
) {
    private class Lane<T>(
        val weight: Double,
    ) {
        val waiting: Map<Priority, ArrayDeque<QueuedRequest<T>>> = Priority.entries.associateWith { ArrayDeque() }
        var finishTag = 0.0

        val size: Int get() = waiting.values.sumOf { it.size }

        fun head(): QueuedRequest<T>? = waiting.values.firstOrNull { it.isNotEmpty() }?.first()
    }

    private val lanes = LinkedHashMap<OrganisationId, Lane<T>>()
    private val rate = DrainRate()
    private var virtualTime = 0.0

    /** Requests that wait. */
    public var size: Int = 0
        private set

    /** Lets [request] wait if it can be served in time. */
    public fun offer(
        request: QueuedRequest<T>,
        now: Long,
    ): EnqueueResult {
        val lane = lanes.getOrPut(request.organisation) { Lane(request.weight) }
        val wait = expectedWait(lane)
        if (lane.size >= maxQueueLength || now + wait.inWholeNanoseconds >= request.latestStart) {
            if (lane.size == 0) lanes -= request.organisation
            return EnqueueResult.Refused(wait.coerceIn(SHORTEST_RETRY_AFTER, LONGEST_RETRY_AFTER))
        }
        if (lane.size == 0) lane.finishTag = maxOf(lane.finishTag, virtualTime)
        lane.waiting.getValue(request.priority) += request
        size++
        return EnqueueResult.Waiting
    }

    /** The request whose turn it is, without taking it; null when none waits. */
    public fun peek(): QueuedRequest<T>? = nextLane()?.head()

    /** Takes the request whose turn it is; null when none waits. */
    public fun poll(now: Long): QueuedRequest<T>? {
        val lane = nextLane() ?: return null
        val request = checkNotNull(lane.head()) { "an empty lane was left in the queue" }
        virtualTime = maxOf(virtualTime, lane.finishTag)
        lane.finishTag = startTag(lane) + request.cost / lane.weight
        remove(lane, request)
        rate.recordPoll(now)
        return request
    }

    /** Takes every request whose latest start has passed. */
    public fun expired(now: Long): List<QueuedRequest<T>> {
        val late = lanes.values.flatMap { lane -> lane.waiting.values.flatten() }.filter { it.latestStart <= now }
        late.forEach { remove(lanes.getValue(it.organisation), it) }
        return late
    }

    private fun startTag(lane: Lane<T>): Double = maxOf(lane.finishTag, virtualTime)

    private fun nextLane(): Lane<T>? = lanes.values.filter { it.size > 0 }.minByOrNull { it.finishTag }

    private fun remove(
        lane: Lane<T>,
        request: QueuedRequest<T>,
    ) {
        lane.waiting.getValue(request.priority) -= request
        size--
        if (size == 0) forgetIdle()
    }

    /** With nothing waiting the virtual time starts over, so that lanes of organisations long gone don't pile up. */
    private fun forgetIdle() {
        lanes.clear()
        virtualTime = 0.0
    }

    private fun expectedWait(lane: Lane<T>): Duration {
        val perSecond = rate.perSecond ?: return Duration.ZERO
        val active = lanes.values.filter { it.size > 0 || it === lane }
        val part = lane.weight / active.sumOf { it.weight }
        return (lane.size / (perSecond * part)).seconds
    }

    public companion object {
        public const val DEFAULT_MAX_QUEUE_LENGTH: Int = 256
        private val SHORTEST_RETRY_AFTER = 1.seconds
        private val LONGEST_RETRY_AFTER = 60.seconds
    }
}

/** Smoothed rate at which a queue is served. */
internal class DrainRate {
    private var lastPoll: Long? = null
    private var interval: Double = 0.0
    private var polls = 0

    /** Requests served a second; null until enough were. */
    val perSecond: Double? get() = if (polls < SETTLING_POLLS) null else 1.0 / maxOf(interval, SHORTEST_INTERVAL)

    fun recordPoll(now: Long) {
        val previous = lastPoll
        lastPoll = now
        if (previous == null) return
        val since = (now - previous).nanoseconds
        // A pause of the queue says nothing about how fast it is served.
        if (since > LONGEST_INTERVAL) return
        polls++
        val seconds = since.inWholeNanoseconds / NANOS_PER_SECOND
        interval += (seconds - interval) / minOf(polls, WINDOW)
    }

    private companion object {
        const val SETTLING_POLLS = 8
        const val WINDOW = 64
        const val SHORTEST_INTERVAL = 1e-6
        const val NANOS_PER_SECOND = 1e9
        val LONGEST_INTERVAL = 5_000.milliseconds
    }
}
