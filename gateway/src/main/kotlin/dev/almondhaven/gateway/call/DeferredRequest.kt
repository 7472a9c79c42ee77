package dev.almondhaven.gateway.call

import dev.almondhaven.gateway.net.InFlightRequest
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/**
 * A request that came before this router knows what is in force, as after the loss of all routers: callers come back as
 * soon as it listens. It waits until [known], which takes one answer of the store, and is then served; after a short
 * while it is served in any case, which means that it is turned away. Lives on the event loop.
 */
internal class DeferredRequest(
    private val loop: EventLoop,
    private val isReady: () -> Boolean,
    private val serve: () -> InFlightRequest,
) : InFlightRequest {
    private var waitedMillis = 0L
    private var callerDisconnected = false
    private var delegate: InFlightRequest? = null

    init {
        scheduleCheck()
    }

    private fun scheduleCheck() {
        loop.schedule(::check, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun check() {
        waitedMillis += CHECK_INTERVAL_MILLIS
        if (callerDisconnected) return
        if (isReady() || waitedMillis >= MAX_WAIT_MILLIS) delegate = serve() else scheduleCheck()
    }

    override fun onCallerDisconnected() {
        callerDisconnected = true
        delegate?.onCallerDisconnected()
    }

    override fun onCallerWritable() {
        delegate?.onCallerWritable()
    }

    private companion object {
        const val CHECK_INTERVAL_MILLIS = 10L

        /** A small VM takes some 150 ms from listening to its first configuration; an absent store is told of soon. */
        const val MAX_WAIT_MILLIS = 300L
    }
}
