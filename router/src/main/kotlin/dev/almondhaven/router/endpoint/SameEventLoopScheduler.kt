package dev.almondhaven.router.endpoint

import com.linecorp.armeria.client.Endpoint
import com.linecorp.armeria.client.EventLoopScheduler
import com.linecorp.armeria.client.endpoint.EndpointGroup
import com.linecorp.armeria.common.SessionProtocol
import com.linecorp.armeria.common.util.ReleasableHolder
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup

/**
 * Runs a call to an endpoint on the event loop that serves its caller, so that no request switches threads. Each event
 * loop therefore has its own connections to endpoints. Calls from other threads are assigned to event loops in turn.
 */
internal class SameEventLoopScheduler(
    private val workers: EventLoopGroup,
) : EventLoopScheduler {
    private val loops = workers.map { it as EventLoop }

    override fun acquire(
        sessionProtocol: SessionProtocol,
        endpointGroup: EndpointGroup,
        endpoint: Endpoint?,
    ): ReleasableHolder<EventLoop> =
        UnpooledEventLoop(loops.firstOrNull { it.inEventLoop() } ?: workers.next() as EventLoop)

    private class UnpooledEventLoop(
        private val loop: EventLoop,
    ) : ReleasableHolder<EventLoop> {
        override fun get(): EventLoop = loop

        override fun release(): Unit = Unit
    }
}
