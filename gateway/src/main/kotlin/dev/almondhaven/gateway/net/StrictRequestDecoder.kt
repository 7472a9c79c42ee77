package dev.almondhaven.gateway.net

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/** A request decoder that refuses a message with two statements of its length: what follows could be read two ways. */
internal class StrictRequestDecoder(
    headerBytes: Int,
) : HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(headerBytes)
            .setMaxHeaderSize(headerBytes)
            .setMaxChunkSize(CHUNK_BYTES),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both a length and a transfer coding")

    private companion object {
        const val CHUNK_BYTES = 65_536
    }
}
