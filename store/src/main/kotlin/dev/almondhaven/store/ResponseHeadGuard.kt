package dev.almondhaven.store

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.ClientFactoryBuilder
import com.linecorp.armeria.client.ClientFactoryOptions
import dev.almondhaven.http.ResponseHeadScanner
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.ChannelPipeline
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import java.util.concurrent.TimeUnit
import java.util.function.Consumer

/**
 * Makes Armeria's clients refuse two kinds of HTTP/1.1 responses, whose calls then fail with a closed connection: those
 * whose head is malformed, as by an unknown status or a blank behind the name of a field, and those that have no length
 * and whose connection is reset behind what has arrived. Connections that speak HTTP/2 are left alone.
 */
public object ResponseHeadGuard {
    /** The factory of clients that need no settings of their own. */
    public val CLIENT_FACTORY: ClientFactory by lazy { install(ClientFactory.builder()).build() }

    /** Makes the clients of the factory that [builder] builds refuse such responses, and returns [builder]. */
    public fun install(builder: ClientFactoryBuilder): ClientFactoryBuilder =
        builder.option(
            ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER,
            Consumer<ChannelPipeline> { it.addFirst(HeadChecker()) },
        )

    /** Checks the bytes of each head before the decoder gets them. */
    private class HeadChecker : ChannelInboundHandlerAdapter() {
        private val head = ResponseHeadScanner()
        private val observer = ResponseObserver(head)
        private var isHttp1: Boolean? = null
        private var isObserving = false
        private var isEndUnconfirmed = false

        override fun channelRead(
            context: ChannelHandlerContext,
            message: Any,
        ) {
            if (message is ByteBuf && speaksHttp1(message)) {
                observe(context)
                check(message)
                head.problem?.let { return refuse(context, message, it) }
            }
            context.fireChannelRead(message)
        }

        /** A server that speaks HTTP/2 begins with a frame, whose first byte is the highest one of its length. */
        private fun speaksHttp1(bytes: ByteBuf): Boolean {
            if (isHttp1 == null && bytes.isReadable) isHttp1 = bytes.getByte(bytes.readerIndex()) != 0.toByte()
            return isHttp1 == true
        }

        /** Sees the responses behind the decoder, which knows where they end. */
        private fun observe(context: ChannelHandlerContext) {
            if (isObserving) return
            val decoder = context.pipeline().context(HttpClientCodec::class.java) ?: return
            isObserving = true
            context.pipeline().addAfter(decoder.name(), null, observer)
        }

        private fun check(bytes: ByteBuf) {
            var index = bytes.readerIndex()
            while (index < bytes.writerIndex() && !head.isComplete) {
                if (!head.accept(bytes.getByte(index))) return
                index++
                if (head.isComplete) onHead()
            }
        }

        private fun onHead() {
            when (head.status) {
                SWITCHING_PROTOCOLS -> isHttp1 = false
                in INFORMATIONAL -> head.reset()
            }
        }

        private fun refuse(
            context: ChannelHandlerContext,
            message: Any,
            problem: String,
        ) {
            ReferenceCountUtil.release(message)
            context.fireExceptionCaught(IOException("not HTTP: $problem"))
            context.close()
        }

        /**
         * Confirms the end of a response that ends with its connection. A server that closes it with part of the request
         * unread sends the end first and a reset behind it, which only a write shows.
         */
        override fun userEventTriggered(
            context: ChannelHandlerContext,
            event: Any,
        ) {
            if (event !== ChannelInputShutdownEvent.INSTANCE) {
                context.fireUserEventTriggered(event)
                return
            }
            isEndUnconfirmed = true
            context.executor().schedule({ confirmEnd(context) }, RESET_CHECK_MILLIS, TimeUnit.MILLISECONDS)
        }

        private fun confirmEnd(context: ChannelHandlerContext) {
            context.writeAndFlush(Unpooled.copiedBuffer(EMPTY_LINE)).addListener { written ->
                isEndUnconfirmed = !written.isSuccess
                if (written.isSuccess) context.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE)
                context.close()
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            observer.isCut = isEndUnconfirmed
            context.fireChannelInactive()
        }
    }

    /** Resets [head] at the end of each response that is no interim one, and lets no cut one end. */
    private class ResponseObserver(
        private val head: ResponseHeadScanner,
    ) : ChannelInboundHandlerAdapter() {
        private var isInterim = false

        /** Whether the connection was reset behind the response, whose end the decoder takes for the end of its body. */
        var isCut = false

        override fun channelRead(
            context: ChannelHandlerContext,
            message: Any,
        ) {
            if (message is HttpResponse) onHead(context, message)
            val isEnd = message is LastHttpContent && !isInterim
            if (isEnd) head.reset()
            if (isEnd && isCut) ReferenceCountUtil.release(message) else context.fireChannelRead(message)
        }

        private fun onHead(
            context: ChannelHandlerContext,
            response: HttpResponse,
        ) {
            isInterim = response.status().code() in INFORMATIONAL
            val hasLength = HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response)
            val endsAtHead = isInterim || response.status().code() in WITHOUT_BODY
            // Keeps the connection open behind the end of the response, to see whether it is reset.
            if (!endsAtHead && !hasLength) context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
        }
    }

    private const val SWITCHING_PROTOCOLS = 101
    private val INFORMATIONAL = 100..199
    private val WITHOUT_BODY = setOf(204, 304)

    /** A line that servers ignore before a request. */
    private val EMPTY_LINE = "\r\n".toByteArray()

    /** A reset follows the end of the connection within a round trip, which takes a few milliseconds. */
    private const val RESET_CHECK_MILLIS = 10L
}
