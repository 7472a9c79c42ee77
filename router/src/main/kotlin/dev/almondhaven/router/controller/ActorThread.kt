package dev.almondhaven.router.controller

import dev.almondhaven.model.LogEvent
import io.github.oshai.kotlinlogging.KotlinLogging
import org.jctools.queues.MpscArrayQueue
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.LockSupport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * A thread that does one duty: it takes messages from its own bounded ring in order, and between them calls a tick.
 * Any thread may offer; nothing but the duty thread touches the duty's state, so the state needs no locks.
 *
 * ```
 * val duty = ActorThread.start("billing", capacity = 4096, onMessage = batch::add, onTick = batch::flush)
 * if (!duty.offer(record)) rejected.increment()
 * ```
 */
public class ActorThread<M : Any> private constructor(
    private val name: String,
    capacity: Int,
    private val tickInterval: Duration,
    private val onMessage: (M) -> Unit,
    private val onTick: () -> Unit,
) : AutoCloseable {
    private val ring = MpscArrayQueue<M>(capacity)
    private val rejections = AtomicLong()
    private val thread = Thread(::run, "duty-$name").apply { isDaemon = true }

    @Volatile
    private var stopping = false

    /** Messages that found the ring full. */
    public val rejected: Long get() = rejections.get()

    /** Messages waiting in the ring. */
    public val waiting: Int get() = ring.size

    /** Puts [message] on the ring; false when the ring is full, and the message is then not taken. */
    public fun offer(message: M): Boolean {
        if (!ring.offer(message)) {
            rejections.incrementAndGet()
            return false
        }
        LockSupport.unpark(thread)
        return true
    }

    /** Handles the messages already on the ring, then ends the thread; waits for that at most [patience]. */
    public fun stop(patience: Duration = DEFAULT_PATIENCE) {
        stopping = true
        LockSupport.unpark(thread)
        if (Thread.currentThread() !== thread) thread.join(patience.inWholeMilliseconds)
    }

    override fun close(): Unit = stop()

    private fun run() {
        var nextTick = System.nanoTime()
        while (true) {
            val drained = drain()
            if (stopping && !drained) return
            if (System.nanoTime() - nextTick >= 0) {
                guarded { onTick() }
                nextTick = System.nanoTime() + tickInterval.inWholeNanoseconds
            } else if (!drained) {
                LockSupport.parkNanos(this, nextTick - System.nanoTime())
            }
        }
    }

    private fun drain(): Boolean {
        var handled = 0
        while (handled < BURST) {
            val message = ring.poll() ?: break
            guarded { onMessage(message) }
            handled++
        }
        return handled > 0
    }

    private inline fun guarded(action: () -> Unit) {
        try {
            action()
        } catch (exception: Exception) {
            LogEvent.DUTY_FAILED.log(logger, exception) { "duty=$name" }
        }
    }

    public companion object {
        private const val BURST = 256
        private val DEFAULT_PATIENCE = 2_000.milliseconds
        private val DEFAULT_TICK = 100.milliseconds

        /** Starts a duty thread. [capacity] is rounded up to a power of two. */
        public fun <M : Any> start(
            name: String,
            capacity: Int,
            tickInterval: Duration = DEFAULT_TICK,
            onTick: () -> Unit = {},
            onMessage: (M) -> Unit,
        ): ActorThread<M> {
            require(capacity >= 2) { "capacity must be 2 or more, got $capacity" }
            require(tickInterval.isPositive()) { "tickInterval must be positive, got $tickInterval" }
            return ActorThread(name, capacity, tickInterval, onMessage, onTick).also { it.thread.start() }
        }
    }
}
