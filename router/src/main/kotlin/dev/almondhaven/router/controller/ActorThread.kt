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
 * The thread of an actor: it handles messages from its bounded mailbox in order and, between messages, calls a tick
 * handler at a regular interval. Any thread may send messages; only the actor thread accesses the actor's state, so
 * that state needs no locks. Thread names and log events refer to an actor as a duty.
 *
 * ```
 * val actor = ActorThread.start("billing", capacity = 4096, onMessage = batch::add, onTick = batch::flush)
 * if (!actor.offer(record)) rejected.increment()
 * ```
 */
public class ActorThread<M : Any> private constructor(
    private val name: String,
    capacity: Int,
    private val tickInterval: Duration,
    private val onMessage: (M) -> Unit,
    private val onTick: () -> Unit,
) : AutoCloseable {
    private val mailbox = MpscArrayQueue<M>(capacity)
    private val rejections = AtomicLong()
    private val thread = Thread(::run, "duty-$name").apply { isDaemon = true }

    @Volatile
    private var stopping = false

    /** The number of messages rejected because the mailbox was full. */
    public val rejected: Long get() = rejections.get()

    /** The number of messages waiting in the mailbox. */
    public val waiting: Int get() = mailbox.size

    /** Adds [message] to the mailbox; returns false, and drops the message, if the mailbox is full. */
    public fun offer(message: M): Boolean {
        if (!mailbox.offer(message)) {
            rejections.incrementAndGet()
            return false
        }
        LockSupport.unpark(thread)
        return true
    }

    /** Handles the messages already in the mailbox, then ends the thread; waits at most [timeout] for that. */
    public fun stop(timeout: Duration = DEFAULT_STOP_TIMEOUT) {
        stopping = true
        LockSupport.unpark(thread)
        if (Thread.currentThread() !== thread) thread.join(timeout.inWholeMilliseconds)
    }

    override fun close(): Unit = stop()

    private fun run() {
        var nextTick = System.nanoTime()
        while (true) {
            val handledAny = handleBatch()
            if (stopping && !handledAny) return
            if (System.nanoTime() - nextTick >= 0) {
                logFailures { onTick() }
                nextTick = System.nanoTime() + tickInterval.inWholeNanoseconds
            } else if (!handledAny) {
                LockSupport.parkNanos(this, nextTick - System.nanoTime())
            }
        }
    }

    private fun handleBatch(): Boolean {
        var handled = 0
        while (handled < MAX_BATCH_SIZE) {
            val message = mailbox.poll() ?: break
            logFailures { onMessage(message) }
            handled++
        }
        return handled > 0
    }

    private inline fun logFailures(action: () -> Unit) {
        try {
            action()
        } catch (exception: Exception) {
            LogEvent.DUTY_FAILED.log(logger, exception) { "duty=$name" }
        }
    }

    public companion object {
        /** Messages handled between two checks of the tick. */
        private const val MAX_BATCH_SIZE = 256
        private val DEFAULT_STOP_TIMEOUT = 2_000.milliseconds
        private val DEFAULT_TICK_INTERVAL = 100.milliseconds

        /** Starts an actor thread. The mailbox [capacity] is rounded up to a power of two. */
        public fun <M : Any> start(
            name: String,
            capacity: Int,
            tickInterval: Duration = DEFAULT_TICK_INTERVAL,
            onTick: () -> Unit = {},
            onMessage: (M) -> Unit,
        ): ActorThread<M> {
            require(capacity >= 2) { "capacity must be 2 or more, got $capacity" }
            require(tickInterval.isPositive()) { "tickInterval must be positive, got $tickInterval" }
            return ActorThread(name, capacity, tickInterval, onMessage, onTick).also { it.thread.start() }
        }
    }
}
