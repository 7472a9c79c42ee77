package dev.almondhaven.store

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.ClientFactoryBuilder
import com.linecorp.armeria.client.ClientFactoryOptions
import dev.almondhaven.http.ResponseHeadScanner
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException
import java.util.function.Consumer

/**
 * Refuses heads of HTTP/1.1 responses that are malformed, by closing their connection: Armeria's client passes unknown
 * status codes on, and takes a field with a blank behind its name for one without it. Connections that speak HTTP/2 are
 * left alone; their frames have no such lines.
 */
public object ResponseHeadGuard {
    /** The factory of clients that need no settings of their own. */
    public val CLIENT_FACTORY: ClientFactory by lazy { install(ClientFactory.builder()).build() }

    /** Makes the clients of the factory that [builder] builds check the heads of their responses. */
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
    }

    /** Resets [head] at the end of each response that is no interim one. */
    private class ResponseObserver(
        private val head: ResponseHeadScanner,
    ) : ChannelInboundHandlerAdapter() {
        private var isInterim = false

        override fun channelRead(
            context: ChannelHandlerContext,
            message: Any,
        ) {
            if (message is HttpResponse) isInterim = message.status().code() in INFORMATIONAL
            if (message is LastHttpContent && !isInterim) head.reset()
            context.fireChannelRead(message)
        }
    }

    private const val SWITCHING_PROTOCOLS = 101
    private val INFORMATIONAL = 100..199
}
