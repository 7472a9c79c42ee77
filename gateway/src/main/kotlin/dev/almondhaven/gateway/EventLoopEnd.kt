package dev.almondhaven.gateway

import io.netty.util.concurrent.EventExecutor

/**
 * Calls [onEnd] when [loop] has ended although nobody asked for it, as after an [Error] that its own code threw. All of the
 * router runs on the event loop, so a process whose event loop has ended answers nothing.
 */
internal class EventLoopEnd(
    loop: EventExecutor,
    private val onEnd: () -> Unit,
) {
    @Volatile
    private var isExpected = false

    init {
        loop.terminationFuture().addListener { if (!isExpected) onEnd() }
    }

    /** Tells that the event loop is about to be ended. */
    fun expect() {
        isExpected = true
    }
}
