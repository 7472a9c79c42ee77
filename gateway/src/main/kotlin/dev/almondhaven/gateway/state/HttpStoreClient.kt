package dev.almondhaven.gateway.state

import dev.almondhaven.gateway.net.ConnectionPool
import dev.almondhaven.gateway.net.HeadAction
import dev.almondhaven.gateway.net.OutboundCall
import dev.almondhaven.gateway.net.OutboundListener
import dev.almondhaven.gateway.net.OutboundRequest
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.platform.StoreCall
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaders
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/**
 * Calls the platform's store over HTTP. A watch that gets no response doesn't count as a failure of the store: it may be
 * cut off while it waits, and its timeout tells of a moment long past. Must be used on the event loop only.
 */
internal class HttpStoreClient(
    private val loop: EventLoop,
    address: String,
    private val clock: NanoClock,
) : StoreClient {
    private val pool = ConnectionPool(loop, address)
    private var isFailing = false

    private val recoveryActions = ArrayList<() -> Unit>()

    override var recoveredAt: Long? = null
        private set

    override fun onRecovery(action: () -> Unit) {
        recoveryActions += action
    }

    override fun call(
        call: StoreCall,
        timeout: Duration,
        onResponse: (StoreResponse?) -> Unit,
    ): () -> Unit {
        val body = call.body?.toByteArray() ?: ByteArray(0)
        val headers = if (call.body == null) emptyList() else listOf("Content-Type" to "application/json")
        val pending = PendingHttpCall(call, onResponse)
        pending.outbound = pool.send(OutboundRequest(call.method, call.path, headers, body), pending)
        pending.timer = loop.schedule(pending::onTimeout, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        if (pending.isSettled) pending.timer?.cancel(false)
        return pending::cancel
    }

    /** Records whether the store could be reached; returns true if it has recovered from a failure. */
    private fun recordReachability(reached: Boolean): Boolean {
        if (reached == !isFailing) return false
        isFailing = !reached
        if (reached) recoveredAt = clock.nanos()
        val event = if (reached) LogEvent.STORE_REGAINED else LogEvent.STORE_LOST
        event.log(logger)
        return reached
    }

    private inner class PendingHttpCall(
        private val call: StoreCall,
        private val onResponse: (StoreResponse?) -> Unit,
    ) : OutboundListener {
        var outbound: OutboundCall? = null
        var timer: java.util.concurrent.Future<*>? = null
        var isSettled = false
            private set
        private var status = 0
        private val body = ByteArrayOutputStream()

        override fun onHead(
            status: Int,
            headers: HttpHeaders,
        ): HeadAction {
            this.status = status
            return HeadAction.TAKE
        }

        override fun onContent(bytes: ByteBuf) {
            if (body.size() + bytes.readableBytes() <= MAX_BODY_BYTES) {
                bytes.readBytes(body, bytes.readableBytes())
            } else {
                outbound?.cancel()
                onFailure(sent = true, reason = "a body above $MAX_BODY_BYTES bytes")
            }
        }

        override fun onEnd() {
            // A store that rejects calls counts as failing, whatever the reason.
            if (status == TOO_MANY_REQUESTS || status >= FIRST_SERVER_ERROR) {
                LogEvent.STORE_CALL_FAILED.log(logger) { "call=${call.method} path=${call.path} status=$status" }
                recordReachability(reached = false)
                settle(null)
            } else {
                val recovered = recordReachability(reached = true)
                settle(StoreResponse(status, body.toString(Charsets.UTF_8)))
                if (recovered) recoveryActions.forEach { it() }
            }
        }

        override fun onFailure(
            sent: Boolean,
            reason: String,
        ) {
            LogEvent.STORE_CALL_FAILED.log(logger) { "call=${call.method} path=${call.path} sent=$sent reason=$reason" }
            if (!sent || !call.isWatch) recordReachability(reached = false)
            settle(null)
        }

        fun onTimeout() {
            if (isSettled) return
            outbound?.cancel()
            onFailure(sent = true, reason = "no response in time")
        }

        fun cancel() {
            if (isSettled) return
            isSettled = true
            timer?.cancel(false)
            outbound?.cancel()
        }

        private fun settle(response: StoreResponse?) {
            if (isSettled) return
            isSettled = true
            timer?.cancel(false)
            onResponse(response)
        }
    }

    private companion object {
        const val TOO_MANY_REQUESTS = 429

        /** 16 MiB; a page holds about 1 MB, and a watch returns the changes of some seconds. */
        const val MAX_BODY_BYTES = 16_777_216
        const val FIRST_SERVER_ERROR = 500
    }
}
