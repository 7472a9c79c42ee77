package dev.almondhaven.router.endpoint

import dev.almondhaven.model.NanoClock
import io.netty.channel.Channel
import io.netty.util.AttributeKey
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/**
 * The connection that carries an attempt. Attempts multiplexed on one connection share the time of its last received
 * byte, so that one silent answer closes the connection only if all other answers on it are silent too.
 */
public class EndpointConnection private constructor(
    private val channel: Channel,
    private val lastProgress: AtomicLong,
) {
    /** Records that bytes arrived on the connection at [now]. */
    public fun recordProgress(now: Long) {
        lastProgress.accumulateAndGet(now, ::maxOf)
    }

    /** Closes the connection if nothing arrived on it for [timeout]; the next request then opens a new one. */
    public fun closeIfSilent(
        timeout: Duration,
        clock: NanoClock,
    ) {
        if (clock.elapsed(lastProgress.get()) >= timeout) channel.close()
    }

    public companion object {
        private val LAST_PROGRESS = AttributeKey.valueOf<AtomicLong>(EndpointConnection::class.java, "lastProgress")

        /** The connection on [channel]; a newly seen one counts [now] as its last received byte. */
        internal fun of(
            channel: Channel,
            now: Long,
        ): EndpointConnection {
            val attribute = channel.attr(LAST_PROGRESS)
            val initial = AtomicLong(now)
            return EndpointConnection(channel, attribute.setIfAbsent(initial) ?: initial)
        }
    }
}
