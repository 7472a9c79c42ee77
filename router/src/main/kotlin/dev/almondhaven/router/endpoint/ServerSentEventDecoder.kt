package dev.almondhaven.router.endpoint

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.stream.StreamDecoder
import com.linecorp.armeria.common.stream.StreamDecoderInput
import com.linecorp.armeria.common.stream.StreamDecoderOutput
import io.netty.buffer.ByteBuf
import java.io.ByteArrayOutputStream

/**
 * One server-sent event.
 *
 * @property id the `id` field; null if the event has none.
 * @property data the `data` lines joined by line feeds.
 */
public data class ServerSentEvent(
    public val id: String?,
    public val data: String,
)

/**
 * Decodes a byte stream into server-sent events (WHATWG HTML, section 9.2). Ignores comments and all fields except `id`
 * and `data`. Drops an event that lacks its terminating empty line, as the standard requires.
 */
public class ServerSentEventDecoder : StreamDecoder<HttpData, ServerSentEvent> {
    private val line = ByteArrayOutputStream()
    private val data = StringBuilder()
    private var hasData = false
    private var id: String? = null

    override fun toByteBuf(input: HttpData): ByteBuf = input.byteBuf()

    override fun process(
        input: StreamDecoderInput,
        output: StreamDecoderOutput<ServerSentEvent>,
    ) {
        while (input.readableBytes() > 0) {
            val byte = input.readByte().toInt()
            if (byte == LINE_FEED) endLine(output) else line.write(byte)
        }
    }

    private fun endLine(output: StreamDecoderOutput<ServerSentEvent>) {
        val text = line.toString(Charsets.UTF_8).removeSuffix("\r")
        line.reset()
        if (text.isEmpty()) endEvent(output) else addField(text)
    }

    private fun addField(text: String) {
        val name = text.substringBefore(':')
        val value = text.substringAfter(':', "").removePrefix(" ")
        when (name) {
            "id" -> id = value
            "data" -> addData(value)
        }
    }

    private fun addData(value: String) {
        if (hasData) data.append('\n')
        data.append(value)
        hasData = true
    }

    private fun endEvent(output: StreamDecoderOutput<ServerSentEvent>) {
        if (hasData) output.add(ServerSentEvent(id, data.toString()))
        data.clear()
        hasData = false
        id = null
    }

    private companion object {
        const val LINE_FEED = '\n'.code
    }
}
