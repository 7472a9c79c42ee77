package dev.almondhaven.gateway.net

import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaders
import java.io.ByteArrayOutputStream
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Sends requests to one address and buffers their responses. Must be used on the event loop only. */
internal class HttpClient(
    private val loop: EventLoop,
    private val pool: ConnectionPool,
) {
    /**
     * Calls [onResult] once, after [timeout] at the latest. The returned action cancels the call; [onResult] is not called
     * after that.
     */
    fun send(
        request: OutboundRequest,
        timeout: Duration,
        onResult: (HttpResult) -> Unit,
    ): () -> Unit {
        val pending = PendingResponse(onResult)
        pending.outbound = pool.send(request, pending)
        pending.timer = loop.schedule(pending::onTimeout, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        if (pending.isSettled) pending.timer?.cancel(false)
        return pending::cancel
    }

    private class PendingResponse(
        private val onResult: (HttpResult) -> Unit,
    ) : OutboundListener {
        var outbound: OutboundCall? = null
        var timer: Future<*>? = null
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
                val reason = "a body above $MAX_BODY_BYTES bytes"
                settle(HttpResult.Failure(sent = true, reason, isTooLong = true))
            }
        }

        override fun onEnd(): Unit = settle(decodeBody())

        private fun decodeBody(): HttpResult =
            try {
                HttpResult.Response(status, body.toString(Charsets.UTF_8))
            } catch (shortage: OutOfMemoryError) {
                HttpResult.Failure(sent = true, "no memory for ${body.size()} bytes", isTooLong = true)
            }

        override fun onFailure(
            sent: Boolean,
            reason: String,
        ): Unit = settle(HttpResult.Failure(sent, reason))

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

        private fun settle(result: HttpResult) {
            if (isSettled) return
            isSettled = true
            timer?.cancel(false)
            onResult(result)
        }
    }

    private companion object {
        /**
         * 4 MiB; a page of the store holds about 1 MB. Reading and decoding a body takes several times its length in
         * memory, and the heap has about 100 MiB.
         */
        const val MAX_BODY_BYTES = 4_194_304
    }
}
