package dev.almondhaven.gateway.call

import dev.almondhaven.gateway.net.InFlightRequest
import dev.almondhaven.model.LogEvent
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/**
 * A request that arrived before the router had loaded its configuration, for example when callers reconnect after all
 * routers were lost. It waits until [isReady], which takes one response of the store, and is then served. After
 * [MAX_WAIT_MILLIS] it is served in any case, which means that it is rejected. Must be used on the event loop only.
 *
 * @property abort closes the caller's connection; called if [serve] fails, which may have sent the request by then.
 */
internal class DeferredRequest(
    private val loop: EventLoop,
    private val isReady: () -> Boolean,
    private val abort: () -> Unit,
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
        if (callerDisconnected || delegate != null) return
        if (isReady() || waitedMillis >= MAX_WAIT_MILLIS) serveOrAbort() else scheduleCheck()
    }

    private fun serveOrAbort() {
        try {
            delegate = serve()
        } catch (failure: Throwable) {
            abort()
            LogEvent.DUTY_FAILED.log(logger, failure) { "duty=\"deferred request\"" }
        }
    }

    override fun onCallerDisconnected() {
        callerDisconnected = true
        delegate?.onCallerDisconnected()
    }

    override fun onShutdown() {
        val served = delegate
        if (served == null) delegate = serve() else served.onShutdown()
    }

    override fun onCallerWritable() {
        delegate?.onCallerWritable()
    }

    private companion object {
        const val CHECK_INTERVAL_MILLIS = 10L

        /**
         * A small VM takes about 150 ms from listening to its first configuration; callers learn soon that the store is
         * unreachable.
         */
        const val MAX_WAIT_MILLIS = 300L
    }
}
