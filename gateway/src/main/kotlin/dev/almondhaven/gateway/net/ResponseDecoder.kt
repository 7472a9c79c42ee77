package dev.almondhaven.gateway.net

import dev.almondhaven.http.ResponseHeadScanner
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.AsciiString

/**
 * Decodes the responses that [connection] waits for, each after its whole head has been checked. Bytes that arrive while
 * none is due are not decoded, not even in part: the beginning of a message would stand in front of the next response.
 */
internal class ResponseDecoder(
    limits: HttpDecoderConfig,
    private val connection: OutboundConnection,
) : HttpResponseDecoder(limits) {
    private val head = ResponseHeadScanner()

    /** Bytes of the head in the buffer that have been checked. */
    private var checkedBytes = 0

    override fun decode(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        if (!connection.isResponseDue) {
            connection.onUnsolicitedBytes(buffer.readableBytes())
            buffer.skipBytes(buffer.readableBytes())
            return
        }
        checkHead(buffer)
        head.problem?.let { problem ->
            buffer.skipBytes(buffer.readableBytes())
            return connection.onMalformedHead(problem)
        }
        if (!head.isComplete) return
        super.decode(context, buffer, out)
        if (out.lastOrNull() is LastHttpContent) {
            head.reset()
            checkedBytes = 0
        }
    }

    private fun checkHead(buffer: ByteBuf) {
        while (!head.isComplete && checkedBytes < buffer.readableBytes()) {
            val byte = buffer.getByte(buffer.readerIndex() + checkedBytes)
            checkedBytes++
            if (!head.accept(byte)) return
        }
    }

    /** Checks the names of trailers, which [head] doesn't see: for responses, Netty ends a name at a blank too. */
    override fun splitHeaderName(
        line: ByteArray,
        start: Int,
        length: Int,
    ): AsciiString {
        val isBeforeColon = line.getOrNull(start + length) == ':'.code.toByte()
        require(isBeforeColon) { "the name of a field has no colon behind it" }
        return super.splitHeaderName(line, start, length)
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding are present")

    override fun isContentAlwaysEmpty(response: HttpMessage): Boolean =
        connection.isHeadRequest || super.isContentAlwaysEmpty(response)
}
