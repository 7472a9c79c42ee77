package dev.almondhaven.gateway.net

import dev.almondhaven.gateway.call.RouterResponse
import dev.almondhaven.traffic.CallerLimits
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * One connection of a caller: reads complete requests within the limits, hands them over one at a time, and writes the
 * responses in the same order. Must be used on the event loop only.
 */
internal class CallerConnection(
    private val limits: () -> CallerLimits,
    private val handler: RequestHandler,
    private val isStopping: () -> Boolean,
    private val decoder: StrictRequestDecoder,
    private val onClosed: (CallerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private var head: HttpRequest? = null
    private var headReadAt = 0L
    private var body = ByteArrayOutputStream()
    private val pipelined = ArrayDeque<CallerRequest>()
    private var inFlight: InFlightRequest? = null
    private var activeWriter: Writer? = null
    private var timer: ScheduledFuture<*>? = null
    private var isRejecting = false

    /** The last write, with which all writes before it are done. */
    private var lastWrite: ChannelFuture? = null

    /** Monotonic time in nanoseconds at which the connection was opened or its last response ended. */
    private var idleSince = System.nanoTime()

    /** Whether a request whose head has been read is being read or served. */
    private val isServing: Boolean get() = activeWriter != null || head != null || pipelined.isNotEmpty()

    /** Whether a request is being read or served, or part of a response waits until the caller reads. */
    val isBusy: Boolean get() = isServing || decoder.isInsideRequest || lastWrite?.isDone == false

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
        awaitRequest()
    }

    /** Closes the connection if it has been idle for [quietPeriod]. */
    fun closeIfIdle(quietPeriod: Duration) {
        if (!isBusy && System.nanoTime() - idleSince >= quietPeriod.inWholeNanoseconds) context.close()
    }

    /** Ends the request that is being served with its final response. */
    fun endRequest() {
        inFlight?.onShutdown()
    }

    private fun send(message: Any): ChannelFuture = context.writeAndFlush(message).also { lastWrite = it }

    private fun awaitRequest() {
        startTimer(limits().idleTimeout.inWholeMilliseconds) { if (!isServing) context.close() }
    }

    private fun startTimer(
        millis: Long,
        action: () -> Unit,
    ) {
        timer?.cancel(false)
        timer = context.executor().schedule(action, millis, TimeUnit.MILLISECONDS)
    }

    /** Starts the header timeout; called when the first bytes of a request arrive, before they are decoded. */
    fun onRequestStart() {
        if (isServing) return
        startTimer(limits().headerTimeout.inWholeMilliseconds) {
            if (!isServing) reject(HttpResponseStatus.REQUEST_TIMEOUT)
        }
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (isRejecting || message !is HttpObject) return
            if (message.decoderResult().isFailure) return reject(statusOf(message.decoderResult().cause()))
            if (message is HttpRequest) handleHead(message)
            if (message is HttpContent && !isRejecting) handleContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun statusOf(cause: Throwable?): HttpResponseStatus =
        when (cause) {
            is TooLongHttpHeaderException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            is TooLongHttpLineException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            else -> HttpResponseStatus.BAD_REQUEST
        }

    private fun handleHead(request: HttpRequest) {
        head = request
        headReadAt = System.nanoTime()
        body = ByteArrayOutputStream()
        // A body may take as long as a connection may stay idle.
        startTimer(limits().idleTimeout.inWholeMilliseconds) {
            if (head != null) reject(HttpResponseStatus.REQUEST_TIMEOUT)
        }
        val rejection = validate(request)
        if (rejection != null) return reject(rejection)
        if (HttpUtil.is100ContinueExpected(request)) {
            send(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))
        }
    }

    /** Returns the status to reject [request] with, or null if it is valid. */
    private fun validate(request: HttpRequest): HttpResponseStatus? {
        val headers = request.headers()
        val transferEncodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val hasUnknownEncoding =
            transferEncodings.isNotEmpty() && transferEncodings.singleOrNull()?.lowercase() != CHUNKED
        return when {
            headers.getAll(HttpHeaderNames.HOST).size != 1 -> HttpResponseStatus.BAD_REQUEST
            !request.uri().startsWith("/") -> HttpResponseStatus.BAD_REQUEST
            hasUnknownEncoding -> HttpResponseStatus.BAD_REQUEST
            HttpUtil.getContentLength(request, 0L) > limits().bodyBytes -> HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
            else -> null
        }
    }

    private fun handleContent(content: HttpContent) {
        val request = head ?: return
        val bytes: ByteBuf = content.content()
        if (body.size() + bytes.readableBytes() > limits().bodyBytes) {
            return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        bytes.readBytes(body, bytes.readableBytes())
        if (content !is LastHttpContent) return
        head = null
        timer?.cancel(false)
        val callerRequest =
            CallerRequest(
                request.method().name(),
                request.uri(),
                request.headers(),
                body.toByteArray(),
                headReadAt,
                HttpUtil.isKeepAlive(request),
            )
        if (activeWriter == null) serve(callerRequest) else enqueue(callerRequest)
    }

    private fun enqueue(request: CallerRequest) {
        pipelined.addLast(request)
        if (pipelined.size >= MAX_PIPELINED_REQUESTS) context.channel().config().isAutoRead = false
    }

    /**
     * Serves [request] once the event loop has read all connections that have data. Callers whose requests waited
     * unread, as while the process starts, may have left since; their closed connections are seen first.
     */
    private fun serve(request: CallerRequest) {
        val next = Writer(request.keepAlive, request.method == "HEAD")
        activeWriter = next
        context.executor().execute {
            if (activeWriter !== next || !context.channel().isActive) return@execute
            val served = handler.serve(request, next)
            if (activeWriter === next) inFlight = served
        }
    }

    /**
     * Rejects a request that could not be read, and closes the connection, since the boundary of the next request is
     * unknown.
     */
    private fun reject(status: HttpResponseStatus) {
        isRejecting = true
        head = null
        if (activeWriter != null) return
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
        response
            .headers()
            .set(
                HttpHeaderNames.CONTENT_LENGTH,
                0,
            ).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        send(response).addListener(ChannelFutureListener.CLOSE)
    }

    private fun onResponseEnd(keepAlive: Boolean) {
        activeWriter = null
        inFlight = null
        idleSince = System.nanoTime()
        if (isRejecting || !keepAlive) return
        val next = pipelined.removeFirstOrNull()
        if (next == null) return awaitRequest()
        if (pipelined.size < MAX_PIPELINED_REQUESTS) context.channel().config().isAutoRead = true
        serve(next)
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) inFlight?.onCallerWritable()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer?.cancel(false)
        val disconnected = inFlight
        inFlight = null
        activeWriter = null
        disconnected?.onCallerDisconnected()
        onClosed(this)
    }

    @Deprecated("Deprecated by ChannelHandler; it is how ChannelInboundHandler reports errors.")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        context.close()
    }

    private inner class Writer(
        private val callerKeepsAlive: Boolean,
        private val isHeadRequest: Boolean,
    ) : ResponseWriter {
        private var keepAlive = true

        override fun respond(response: RouterResponse) = respond(response.status, response.headers, response.body)

        override fun respond(
            status: Int,
            headers: List<Pair<String, String>>,
            body: ByteArray,
        ) {
            if (activeWriter !== this) return
            val content = if (isHeadRequest) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(body)
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content)
            prepare(response, headers)
            if (status != NO_CONTENT && status != NOT_MODIFIED) {
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
            }
            finish(response)
        }

        override fun beginResponse(
            status: Int,
            headers: List<Pair<String, String>>,
        ) {
            if (activeWriter !== this) return
            val response = begunResponse(HttpResponseStatus.valueOf(status))
            prepare(response, headers)
            if (!isHeadRequest) response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
            send(response)
        }

        /** The encoder doesn't know that a response to HEAD has no body; it has to get a whole one. */
        private fun begunResponse(status: HttpResponseStatus): HttpResponse =
            if (isHeadRequest) {
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
            } else {
                DefaultHttpResponse(HttpVersion.HTTP_1_1, status)
            }

        override fun write(bytes: ByteArray): Boolean {
            if (activeWriter !== this || isHeadRequest) return true
            send(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
            return context.channel().isWritable
        }

        override fun complete() {
            if (activeWriter !== this) return
            finish(if (isHeadRequest) Unpooled.EMPTY_BUFFER else LastHttpContent.EMPTY_LAST_CONTENT)
        }

        override fun abort() {
            if (activeWriter !== this) return
            activeWriter = null
            inFlight = null
            context.close()
        }

        private fun prepare(
            response: HttpResponse,
            headers: List<Pair<String, String>>,
        ) {
            headers.forEach { (name, value) -> response.headers().add(name, value) }
            keepAlive = callerKeepsAlive && !isStopping() && !isRejecting
            if (!keepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }

        private fun finish(last: Any) {
            val written = send(last)
            if (!keepAlive) written.addListener(ChannelFutureListener.CLOSE)
            onResponseEnd(keepAlive)
        }
    }

    private companion object {
        const val CHUNKED = "chunked"
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304

        /** Requests that a caller may pipeline before reading from the connection pauses. */
        const val MAX_PIPELINED_REQUESTS = 4
    }
}
