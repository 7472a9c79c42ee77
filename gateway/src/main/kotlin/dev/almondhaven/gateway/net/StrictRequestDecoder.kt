package dev.almondhaven.gateway.net

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.LastHttpContent

/**
 * A request decoder that rejects a message with both Content-Length and Transfer-Encoding, since the ambiguous length
 * allows request smuggling.
 */
internal class StrictRequestDecoder(
    headerBytes: Int,
) : HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(headerBytes)
            .setMaxHeaderSize(headerBytes)
            .setMaxChunkSize(CHUNK_BYTES),
    ) {
    /** Whether a request has arrived in part. */
    var isInsideRequest = false
        private set

    override fun decode(
        context: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        super.decode(context, buffer, out)
        isInsideRequest = out.lastOrNull() !is LastHttpContent
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding are present")

    private companion object {
        const val CHUNK_BYTES = 65_536
    }
}
