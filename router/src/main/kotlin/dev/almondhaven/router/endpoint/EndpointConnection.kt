package dev.almondhaven.router.endpoint

import dev.almondhaven.model.NanoClock
import io.netty.channel.Channel
import io.netty.util.AttributeKey
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/**
 * The connection that an attempt uses. Attempts on one connection share the time of its last byte, so that one silent
 * answer closes a connection only when everything else on it is silent too.
 */
public class EndpointConnection private constructor(
    private val channel: Channel,
    private val lastProgress: AtomicLong,
) {
    /** Notes that bytes came on the connection. */
    public fun recordProgress(now: Long) {
        lastProgress.accumulateAndGet(now, ::maxOf)
    }

    /** Closes the connection if nothing came on it for [patience]; the next request opens a new one. */
    public fun closeIfSilent(
        patience: Duration,
        clock: NanoClock,
    ) {
        if (clock.elapsed(lastProgress.get()) >= patience) channel.close()
    }

    public companion object {
        private val LAST_PROGRESS = AttributeKey.valueOf<AtomicLong>(EndpointConnection::class.java, "lastProgress")

        /** The connection on [channel], first seen [now] or earlier. */
        internal fun of(
            channel: Channel,
            now: Long,
        ): EndpointConnection {
            val attribute = channel.attr(LAST_PROGRESS)
            val fresh = AtomicLong(now)
            return EndpointConnection(channel, attribute.setIfAbsent(fresh) ?: fresh)
        }
    }
}
