package dev.almondhaven.gateway

import io.netty.util.concurrent.EventExecutor
import kotlin.concurrent.thread

/**
 * Calls [onEnd] when the thread of [loop] has ended although nobody asked for it, as after an [Error] that its own code
 * threw. All of the router runs on the event loop, so a process whose event loop has ended answers nothing. Waits for the
 * thread itself, on a thread of its own: an event loop that ends for lack of memory may not complete its future.
 */
internal class EventLoopEnd(
    loop: EventExecutor,
    private val onEnd: () -> Unit,
) {
    @Volatile
    private var isExpected = false

    /** Ends after [onEnd]. */
    val watcher: Thread

    init {
        val watched = loop.submit<Thread> { Thread.currentThread() }.get()
        watcher =
            thread(isDaemon = true, name = "event-loop-end") {
                watched.join()
                if (!isExpected) onEnd()
            }
    }

    /** Tells that the event loop is about to be ended. */
    fun expect() {
        isExpected = true
    }
}
