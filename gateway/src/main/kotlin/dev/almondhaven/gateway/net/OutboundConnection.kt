package dev.almondhaven.gateway.net

import dev.almondhaven.model.LogEvent
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

private val logger = KotlinLogging.logger {}

/**
 * One HTTP/1.1 connection to an endpoint or to the store, with one request at a time. A connection is reused only while
 * it has delivered nothing but complete responses to its own requests. Must be used on the event loop only.
 */
internal class OutboundConnection(
    private val channel: Channel,
    private val host: String,
    private val onIdle: (OutboundConnection) -> Unit,
    private val onBytesReceived: () -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var listener: OutboundListener? = null
    private var isDiscarding = false
    private var headReceived = false
    private var requestWritten = false
    private var requestHasBody = false
    private var isReusable = true

    /** Whether the end of the connection is the end of the response. */
    private var isDelimitedByClose = false

    /** The listener of a response that has ended while bytes that arrived with it are still being read. */
    private var endedListener: OutboundListener? = null

    /** The listener of a response that ended with its connection, until it is known that the peer didn't reset it. */
    private var unconfirmedListener: OutboundListener? = null

    /** Whether a request is in flight whose response has not ended. */
    val isResponseDue: Boolean get() = listener != null

    /** Whether the request in flight is a HEAD request, whose response has no body whatever its head says. */
    var isHeadRequest = false
        private set

    /** Tells the connections of this process apart in logs. */
    private val number = LAST_NUMBER.incrementAndGet()
    private var sends = 0

    /**
     * Hashes of the ids of the requests that were sent, to which a late second response may still arrive. Ids may be
     * long; two with the same hash only cost a new connection.
     */
    private val sentIds = HashSet<Int>()

    /** The numbers of this connection and of the next request on it, which tell sends apart in logs. */
    val nextSendNumber: String get() = "$number/${sends + 1}"
    val hasCarriedRequests: Boolean get() = sends > 0

    /** Bytes received since the last ones that belonged to a response to the request in flight. */
    private var unusedBytes = 0L

    /** Monotonic time in nanoseconds at which the last response ended. */
    var idleSince = 0L
        private set

    /** How long the peer keeps an idle connection open. */
    var idleTimeoutNanos = DEFAULT_IDLE_TIMEOUT_NANOS
        private set
    val isOpen: Boolean get() = channel.isActive && isReusable

    /** Whether a response to [request] could not be mistaken for one to an earlier send over this connection. */
    fun mayCarry(request: OutboundRequest): Boolean = request.id == null || request.id.hashCode() !in sentIds

    fun send(
        request: OutboundRequest,
        listener: OutboundListener,
    ) {
        check(this.listener == null) { "the connection to $host already carries a request" }
        if (!channel.isActive) return listener.onFailure(sent = false, reason = "closed before the request")
        this.listener = listener
        sends++
        request.id?.let { sentIds += it.hashCode() }
        headReceived = false
        isDelimitedByClose = false
        requestWritten = false
        requestHasBody = request.body.isNotEmpty()
        unusedBytes = 0
        isHeadRequest = request.method == "HEAD"
        val content = if (request.body.isEmpty()) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(request.body)
        val message =
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method), request.path, content)
        request.headers.forEach { (name, value) -> message.headers().add(name, value) }
        if (!message.headers().contains(HttpHeaderNames.HOST)) message.headers().set(HttpHeaderNames.HOST, host)
        if (request.body.isNotEmpty() || request.method !in METHODS_WITHOUT_BODY) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        }
        channel.writeAndFlush(message).addListener { written ->
            if (written.isSuccess) requestWritten = true else fail("write failed: ${written.cause()?.message}")
        }
    }

    /** Pauses or resumes reading, for backpressure from the receiving side. */
    fun setAutoRead(enabled: Boolean) {
        channel.config().isAutoRead = enabled
    }

    /** Closes the connection, which cancels a request in flight; the listener is not called any more. */
    fun cancel() {
        listener = null
        endedListener = null
        unconfirmedListener = null
        close()
    }

    private fun close() {
        isReusable = false
        channel.close()
    }

    /**
     * Counts [bytes] before they are decoded. Blank lines, interim responses and responses to other requests may
     * follow each other without end, and the decoder does not bound them.
     */
    fun onRawBytes(bytes: Int) {
        unusedBytes += bytes
        if (unusedBytes > MAX_UNUSED_BYTES) fail("$unusedBytes bytes without a response")
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            onBytesReceived()
            if (listener == null || message !is HttpObject) return close()
            if (message.decoderResult().isFailure) return fail("not HTTP: ${message.decoderResult().cause()?.message}")
            if (message is HttpResponse) handleHead(message)
            if (message is HttpContent) handleContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    /** Closes the connection because of bytes that belong to no request. */
    fun onUnsolicitedBytes(bytes: Int) {
        if (!isOpen) return
        LogEvent.BYTES_UNSOLICITED.log(logger) { "address=$host connection=$number/$sends bytes=$bytes" }
        close()
    }

    /** Fails the request in flight because of a head that no response has. */
    fun onMalformedHead(problem: String): Unit = fail("not HTTP: $problem")

    private fun handleHead(response: HttpResponse) {
        headReceived = true
        val status = response.status().code()
        if (status == SWITCHING_PROTOCOLS) return fail("a switch of protocols that was not asked for")
        if (status in INFORMATIONAL) {
            isDiscarding = true
            return
        }
        unknownCodingOf(response)?.let { return fail("not HTTP: transfer codings $it") }
        isDelimitedByClose = endsWithConnection(response)
        if (!HttpUtil.isKeepAlive(response) || isDelimitedByClose) isReusable = false
        // Keeps the connection open behind the end of the response, to see whether it is reset.
        if (isDelimitedByClose && requestHasBody) channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
        if (sentIds.size >= MAX_REQUESTS) isReusable = false
        updateIdleTimeout(response)
        val action = listener?.onHead(status, response.headers()) ?: HeadAction.SKIP
        isDiscarding = action == HeadAction.SKIP
        if (!isDiscarding) unusedBytes = 0
        if (isDiscarding) isReusable = false
    }

    /** The transfer codings of [response] if they are others than "chunked", the only one that is decoded. */
    private fun unknownCodingOf(response: HttpResponse): List<String>? {
        val codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val isChunked = codings.singleOrNull().equals("${HttpHeaderValues.CHUNKED}", ignoreCase = true)
        return codings.takeUnless { it.isEmpty() || isChunked }
    }

    private fun endsWithConnection(response: HttpResponse): Boolean =
        !HttpUtil.isTransferEncodingChunked(response) && !HttpUtil.isContentLengthSet(response) &&
            response.status().code() !in WITHOUT_BODY && !isHeadRequest

    private fun updateIdleTimeout(response: HttpResponse) {
        val stated = response.headers().get("Keep-Alive") ?: return
        val seconds =
            KEEP_ALIVE_TIMEOUT
                .find(stated)
                ?.groupValues
                ?.get(1)
                ?.toLongOrNull() ?: return
        idleTimeoutNanos = seconds * NANOS_PER_SECOND
    }

    private fun handleContent(content: HttpContent) {
        if (!isDiscarding && content.content().isReadable) {
            unusedBytes = 0
            listener?.onContent(content.content())
        }
        if (content !is LastHttpContent) return
        val wasDiscarded = isDiscarding
        isDiscarding = false
        headReceived = false
        if (!wasDiscarded) complete()
    }

    /** Ends the response. A connection that stays open is offered again when all bytes that were read are looked at. */
    private fun complete() {
        if (isDelimitedByClose && !requestWritten) return fail("ended before the request was written")
        val ended = listener ?: return
        listener = null
        if (isDelimitedByClose && requestHasBody) return scheduleResetCheck(ended)
        endedListener = ended
        idleSince = System.nanoTime()
        setAutoRead(true)
        // If the response ended before the request was fully written, the rest of the body is still in transit.
        if (isReusable && requestWritten) return
        close()
        reportEnd()
    }

    /**
     * Completes a response that has ended with its connection, unless the peer resets the connection. A peer that closes
     * it with part of the request unread sends the end first and the reset behind it, which only a write shows.
     */
    private fun scheduleResetCheck(ended: OutboundListener) {
        unconfirmedListener = ended
        channel.eventLoop().schedule(::checkReset, RESET_CHECK_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun checkReset() {
        if (unconfirmedListener == null) return
        // The encoder expects whole requests.
        val behindEncoder = channel.pipeline().firstContext() ?: return
        behindEncoder.writeAndFlush(Unpooled.copiedBuffer(EMPTY_LINE)).addListener { written ->
            val confirmed = unconfirmedListener
            if (written.isSuccess) unconfirmedListener = null
            close()
            if (written.isSuccess) confirmed?.onEnd()
        }
    }

    /** The peer has ended the connection, which was kept open to see whether it resets it. */
    override fun userEventTriggered(
        context: ChannelHandlerContext,
        event: Any,
    ) {
        if (event === ChannelInputShutdownEvent.INSTANCE && unconfirmedListener == null) close()
    }

    /** Offers the connection for reuse, unless a byte followed the response, and reports the end of the response. */
    override fun channelReadComplete(context: ChannelHandlerContext) {
        val reported = endedListener ?: return
        endedListener = null
        if (isOpen) onIdle(this)
        reported.onEnd()
    }

    private fun reportEnd() {
        val reported = endedListener
        endedListener = null
        reported?.onEnd()
    }

    private fun fail(reason: String) {
        val failed = listener
        listener = null
        close()
        failed?.onFailure(sent = true, reason = reason)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        isReusable = false
        val unconfirmed = unconfirmedListener
        unconfirmedListener = null
        unconfirmed?.onFailure(sent = true, reason = "reset behind the answer")
        reportEnd()
        fail(if (headReceived) "closed in the middle of the answer" else "closed without an answer")
    }

    @Deprecated("Deprecated by ChannelHandler; it is how ChannelInboundHandler reports errors.")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ): Unit = fail("connection failed: ${cause.message}")

    private companion object {
        val LAST_NUMBER = AtomicLong()
        val METHODS_WITHOUT_BODY = setOf("GET", "HEAD", "DELETE", "OPTIONS")
        val INFORMATIONAL = 100..199
        const val SWITCHING_PROTOCOLS = 101

        /** Statuses of responses that end at their head. */
        val WITHOUT_BODY = setOf(204, 304)

        /** A line that servers ignore before a request. */
        val EMPTY_LINE = "\r\n".toByteArray()

        /** A reset follows the end of the connection within a round trip, which takes a few milliseconds. */
        const val RESET_CHECK_MILLIS = 10L
        val KEEP_ALIVE_TIMEOUT = Regex("""timeout=(\d+)""")

        /** Bounds the ids that an open connection remembers. */
        const val MAX_REQUESTS = 500
        const val NANOS_PER_SECOND = 1_000_000_000L

        /** 1 MiB; enough for the longest head, and for a late copy of another response before it. */
        const val MAX_UNUSED_BYTES = 1_048_576L

        /** Used if the peer states no timeout; common servers keep idle connections for five seconds or longer. */
        const val DEFAULT_IDLE_TIMEOUT_NANOS = 4 * NANOS_PER_SECOND
    }
}
