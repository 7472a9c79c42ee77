package dev.almondhaven.gateway.net

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/**
 * One HTTP/1.1 connection to an endpoint or to the store, with one request at a time. A connection that gave anything
 * but whole answers to its own requests is not used again. Lives on the event loop.
 */
internal class OutboundConnection(
    private val channel: Channel,
    private val host: String,
    private val onIdle: (OutboundConnection) -> Unit,
    private val onBytes: () -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var listener: OutboundListener? = null
    private var skipping = false
    private var headSeen = false
    private var requestWritten = false
    private var reusable = true

    /** Monotonic time of the end of the last answer. */
    var idleSince = 0L
        private set

    /** How long the other end keeps the connection when it is idle. */
    var idleLifeNanos = UNSTATED_IDLE_LIFE_NANOS
        private set
    val open: Boolean get() = channel.isActive && reusable

    fun send(
        request: OutboundRequest,
        listener: OutboundListener,
    ) {
        check(this.listener == null) { "the connection to $host carries a request already" }
        if (!channel.isActive) return listener.broken(sent = false, reason = "closed before the request")
        this.listener = listener
        headSeen = false
        requestWritten = false
        val content = if (request.body.isEmpty()) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(request.body)
        val message =
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method), request.path, content)
        request.headers.forEach { (name, value) -> message.headers().add(name, value) }
        if (!message.headers().contains(HttpHeaderNames.HOST)) message.headers().set(HttpHeaderNames.HOST, host)
        if (request.body.isNotEmpty() || request.method !in BODYLESS) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        }
        channel.writeAndFlush(message).addListener { written ->
            if (written.isSuccess) requestWritten = true else fail("write failed: ${written.cause()?.message}")
        }
    }

    /** Pauses or goes on with reading, when the other side of a relay can't keep up. */
    fun read(enabled: Boolean) {
        channel.config().isAutoRead = enabled
    }

    /** Ends the connection; a request in work there is cancelled by that. The listener hears nothing more. */
    fun cancel() {
        listener = null
        close()
    }

    private fun close() {
        reusable = false
        channel.close()
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            onBytes()
            if (listener == null || message !is HttpObject) return close()
            if (message.decoderResult().isFailure) return fail("not HTTP: ${message.decoderResult().cause()?.message}")
            if (message is HttpResponse) takeHead(message)
            if (message is HttpContent) takeContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun takeHead(response: HttpResponse) {
        headSeen = true
        val status = response.status().code()
        if (status in INTERIM) {
            skipping = true
            return
        }
        if (!HttpUtil.isKeepAlive(response) || isUnframed(response)) reusable = false
        noteIdleLife(response)
        val verdict = listener?.head(status, response.headers()) ?: HeadAction.SKIP
        skipping = verdict == HeadAction.SKIP
        if (skipping) reusable = false
    }

    private fun isUnframed(response: HttpResponse): Boolean =
        !HttpUtil.isTransferEncodingChunked(response) && !HttpUtil.isContentLengthSet(response)

    private fun noteIdleLife(response: HttpResponse) {
        val stated = response.headers().get("Keep-Alive") ?: return
        val seconds =
            STATED_IDLE_LIFE
                .find(stated)
                ?.groupValues
                ?.get(1)
                ?.toLongOrNull() ?: return
        idleLifeNanos = seconds * NANOS_PER_SECOND
    }

    private fun takeContent(content: HttpContent) {
        if (!skipping && content.content().isReadable) listener?.content(content.content())
        if (content !is LastHttpContent) return
        val wasSkipped = skipping
        skipping = false
        headSeen = false
        if (!wasSkipped) complete()
    }

    private fun complete() {
        val ended = listener ?: return
        listener = null
        idleSince = System.nanoTime()
        // An answer that came before the whole body was written leaves the rest of the body on its way.
        if (reusable && requestWritten && channel.isActive) onIdle(this) else close()
        ended.end()
    }

    private fun fail(reason: String) {
        val failed = listener
        listener = null
        close()
        failed?.broken(sent = true, reason = reason)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        reusable = false
        fail(if (headSeen) "closed in the middle of the answer" else "closed without an answer")
    }

    @Deprecated("Deprecated by ChannelHandler; it is how ChannelInboundHandler reports errors.")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ): Unit = fail("connection failed: ${cause.message}")

    private companion object {
        val BODYLESS = setOf("GET", "HEAD", "DELETE", "OPTIONS")
        val INTERIM = 100..199
        val STATED_IDLE_LIFE = Regex("""timeout=(\d+)""")
        const val NANOS_PER_SECOND = 1_000_000_000L

        /** Common servers keep idle connections for five seconds or longer. */
        const val UNSTATED_IDLE_LIFE_NANOS = 4 * NANOS_PER_SECOND
    }
}
