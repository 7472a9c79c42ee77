package dev.almondhaven.gateway.net

import dev.almondhaven.gateway.call.RouterResponse
import dev.almondhaven.traffic.CallerLimits
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
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

/**
 * One connection of a caller: reads whole requests within the limits, hands them over one at a time, and writes the
 * answers in their order. Lives on the event loop.
 */
internal class CallerConnection(
    private val limits: () -> CallerLimits,
    private val handler: RequestHandler,
    private val closing: () -> Boolean,
    private val onEnd: (CallerConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private var head: HttpRequest? = null
    private var headReadAt = 0L
    private var body = ByteArrayOutputStream()
    private val waiting = ArrayDeque<CallerRequest>()
    private var inWork: InFlightRequest? = null
    private var port: Port? = null
    private var timer: ScheduledFuture<*>? = null
    private var refusing = false

    /** Whether a request is being read or served. */
    val busy: Boolean get() = port != null || head != null || waiting.isNotEmpty()

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
        awaitRequest()
    }

    /** Ends the connection if no request is being read or served. */
    fun closeIfIdle() {
        if (!busy) context.close()
    }

    private fun awaitRequest() {
        startTimer(limits().idleTimeout.inWholeMilliseconds) { if (!busy) context.close() }
    }

    private fun startTimer(
        millis: Long,
        action: () -> Unit,
    ) {
        timer?.cancel(false)
        timer = context.executor().schedule(action, millis, TimeUnit.MILLISECONDS)
    }

    /** The first bytes of a request have come; called before they are decoded. */
    fun requestBegins() {
        if (busy) return
        startTimer(limits().headerTimeout.inWholeMilliseconds) {
            if (!busy) refuse(HttpResponseStatus.REQUEST_TIMEOUT)
        }
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (refusing || message !is HttpObject) return
            if (message.decoderResult().isFailure) return refuse(statusOf(message.decoderResult().cause()))
            if (message is HttpRequest) takeHead(message)
            if (message is HttpContent && !refusing) takeContent(message)
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

    private fun takeHead(request: HttpRequest) {
        head = request
        headReadAt = System.nanoTime()
        body = ByteArrayOutputStream()
        // A body may take as long as a connection may stay idle.
        startTimer(limits().idleTimeout.inWholeMilliseconds) {
            if (head != null) refuse(HttpResponseStatus.REQUEST_TIMEOUT)
        }
        val problem = problemOf(request)
        if (problem != null) return refuse(problem)
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(
                DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER),
            )
        }
    }

    private fun problemOf(request: HttpRequest): HttpResponseStatus? {
        val headers = request.headers()
        val codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
        return when {
            headers.getAll(HttpHeaderNames.HOST).size != 1 -> HttpResponseStatus.BAD_REQUEST
            !request.uri().startsWith("/") -> HttpResponseStatus.BAD_REQUEST
            codings.isNotEmpty() && codings.singleOrNull()?.lowercase() != CHUNKED -> HttpResponseStatus.BAD_REQUEST
            HttpUtil.getContentLength(request, 0L) > limits().bodyBytes -> HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
            else -> null
        }
    }

    private fun takeContent(content: HttpContent) {
        val request = head ?: return
        val bytes: ByteBuf = content.content()
        if (body.size() + bytes.readableBytes() > limits().bodyBytes) {
            return refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        }
        bytes.readBytes(body, bytes.readableBytes())
        if (content !is LastHttpContent) return
        head = null
        timer?.cancel(false)
        val whole =
            CallerRequest(
                request.method().name(),
                request.uri(),
                request.headers(),
                body.toByteArray(),
                headReadAt,
                HttpUtil.isKeepAlive(request),
            )
        if (port == null) serve(whole) else queue(whole)
    }

    private fun queue(request: CallerRequest) {
        waiting.addLast(request)
        if (waiting.size >= MOST_WAITING) context.channel().config().isAutoRead = false
    }

    private fun serve(request: CallerRequest) {
        val next = Port(request.keepAlive, request.method == "HEAD")
        port = next
        val served = handler.serve(request, next)
        if (port === next) inWork = served
    }

    /** Answers a request that could not be read, and ends the connection: what follows can't be told apart. */
    private fun refuse(status: HttpResponseStatus) {
        refusing = true
        head = null
        if (port != null) return
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
        response
            .headers()
            .set(
                HttpHeaderNames.CONTENT_LENGTH,
                0,
            ).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    private fun answered(keepAlive: Boolean) {
        port = null
        inWork = null
        if (refusing || !keepAlive) return
        val next = waiting.removeFirstOrNull()
        if (next == null) return awaitRequest()
        if (waiting.size < MOST_WAITING) context.channel().config().isAutoRead = true
        serve(next)
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        if (context.channel().isWritable) inWork?.onCallerWritable()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer?.cancel(false)
        val left = inWork
        inWork = null
        port = null
        left?.onCallerDisconnected()
        onEnd(this)
    }

    @Deprecated("Deprecated by ChannelHandler; it is how ChannelInboundHandler reports errors.")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        context.close()
    }

    private inner class Port(
        private val keptByCaller: Boolean,
        private val headOnly: Boolean,
    ) : ResponseWriter {
        private var keepAlive = true

        override fun answer(own: RouterResponse) = answer(own.status, own.headers, own.body)

        override fun answer(
            status: Int,
            headers: List<Pair<String, String>>,
            body: ByteArray,
        ) {
            if (port !== this) return
            val content = if (headOnly) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(body)
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content)
            prepare(response, headers)
            if (status != NO_CONTENT && status != NOT_MODIFIED) {
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
            }
            finish(response)
        }

        override fun begin(
            status: Int,
            headers: List<Pair<String, String>>,
        ) {
            if (port !== this) return
            val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
            prepare(response, headers)
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
            context.writeAndFlush(response)
        }

        override fun more(bytes: ByteArray): Boolean {
            if (port !== this) return true
            context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
            return context.channel().isWritable
        }

        override fun complete() {
            if (port === this) finish(LastHttpContent.EMPTY_LAST_CONTENT)
        }

        override fun abort() {
            if (port !== this) return
            port = null
            inWork = null
            context.close()
        }

        private fun prepare(
            response: HttpResponse,
            headers: List<Pair<String, String>>,
        ) {
            headers.forEach { (name, value) -> response.headers().add(name, value) }
            keepAlive = keptByCaller && !closing() && !refusing
            if (!keepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }

        private fun finish(last: Any) {
            val written = context.writeAndFlush(last)
            if (!keepAlive) written.addListener(ChannelFutureListener.CLOSE)
            answered(keepAlive)
        }
    }

    private companion object {
        const val CHUNKED = "chunked"
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304

        /** Requests that a caller may send ahead of its answers before reading pauses. */
        const val MOST_WAITING = 4
    }
}
