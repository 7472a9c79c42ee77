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
    private val known: () -> Boolean,
    private val serve: () -> InFlightRequest,
) : InFlightRequest {
    private var waitedMillis = 0L
    private var left = false
    private var served: InFlightRequest? = null

    init {
        checkLater()
    }

    private fun checkLater() {
        loop.schedule(::check, CHECK_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun check() {
        waitedMillis += CHECK_MILLIS
        if (left) return
        if (known() || waitedMillis >= LONGEST_MILLIS) served = serve() else checkLater()
    }

    override fun onCallerDisconnected() {
        left = true
        served?.onCallerDisconnected()
    }

    override fun onCallerWritable() {
        served?.onCallerWritable()
    }

    private companion object {
        const val CHECK_MILLIS = 10L

        /** A small VM takes some 150 ms from listening to its first configuration; an absent store is told of soon. */
        const val LONGEST_MILLIS = 300L
    }
}
