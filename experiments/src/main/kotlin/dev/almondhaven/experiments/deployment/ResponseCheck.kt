package dev.almondhaven.experiments.deployment

import com.linecorp.armeria.common.AggregatedHttpResponse

/** Checks that a response of the simulated engine is complete and belongs to its request. */
internal object ResponseCheck {
    private val tokenPattern = Regex("token(\\d+) ")
    private const val ERROR_EVENT = "event: error\ndata: "
    private const val DONE_EVENT = "data: [DONE]"

    /** Describes the defect in [response] to a request for [tokens] tokens with [marker]; null if there is none. */
    fun findProblem(
        kind: CallKind,
        response: AggregatedHttpResponse,
        marker: String,
        tokens: Int,
    ): String? {
        val text = response.contentUtf8()
        val numbers = tokenPattern.findAll(text).map { it.groupValues[1].toInt() }.toList()
        return when {
            numbers != (1..tokens).toList() -> "tokens $numbers of $tokens"
            marker !in text -> "the answer isn't marked with $marker"
            kind == CallKind.STREAMED && text.split(DONE_EVENT).size != 2 -> "not exactly one end"
            else -> null
        }
    }

    /** The JSON of the error event in the server-sent event [stream], or null if there is none. */
    fun errorEvent(stream: String): String? =
        stream.substringAfter(ERROR_EVENT, "").substringBefore('\n').ifEmpty { null }
}

/** Builds JSON bodies of model requests. */
internal object ModelRequestText {
    /** A chat request for [tokens] tokens, marked with [marker] in the `user` field, which engines echo. */
    fun of(
        marker: String,
        tokens: Int,
        streamed: Boolean,
    ): String {
        val messages = """[{"role":"user","content":"Which slate fits $marker?"}]"""
        return """{"model":"auto","user":"$marker","stream":$streamed,"max_tokens":$tokens,"messages":$messages}"""
    }
}
