package dev.almondhaven.router.filter

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.linecorp.armeria.common.HttpMethod
import dev.almondhaven.model.ModelId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.model.ServiceId
import dev.almondhaven.router.controller.CatalogueHolder
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import java.util.concurrent.CompletableFuture

/** Parses the request into a [Call], or refuses it with the reason. */
internal class ParseFilter(
    private val holder: CatalogueHolder,
) : RequestFilter {
    override fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer> =
        parse(exchange).fold(
            { Answer.Refused(it).completed() },
            { next.handle(exchange.with(it)) },
        )

    private fun parse(exchange: Exchange): Either<Refusal, Call> {
        val path = exchange.path.substringBefore('?')
        return when {
            path in MODEL_PATHS && exchange.method == HttpMethod.POST -> parseModelCall(exchange, path)
            path == MODEL_LIST_PATH && exchange.method == HttpMethod.GET -> Call.ModelList.right()
            path.startsWith(SERVICE_PREFIX) -> parseServiceCall(exchange)
            else -> notRun(ResultCode.UNKNOWN_PATH, "no such method and path: ${exchange.method} $path")
        }
    }

    private fun parseModelCall(
        exchange: Exchange,
        path: String,
    ): Either<Refusal, Call> {
        val body =
            parseJsonOrNull(exchange.body.toStringUtf8()) as? JsonObject
                ?: return notRun(ResultCode.MALFORMED_REQUEST, "the body is not a JSON object")
        val promptField = if (path == CHAT_PATH) "messages" else "prompt"
        if (promptField !in body) return notRun(ResultCode.MALFORMED_REQUEST, "the field '$promptField' is missing")
        val model =
            when (val field = body["model"]) {
                null -> ANY_MODEL
                is JsonPrimitive -> field.content
                else -> return notRun(ResultCode.MALFORMED_REQUEST, "the field 'model' is not a string")
            }
        val streamed = (body["stream"] as? JsonPrimitive)?.booleanOrNull ?: false
        return parseSelector(model, exchange).map { Call.Model(path, it, body, streamed) }
    }

    private fun parseSelector(
        name: String,
        exchange: Exchange,
    ): Either<Refusal, ModelSelector> {
        if (name == ANY_MODEL) return ModelSelector.Any.right()
        val id = ModelVersionId.parseOrNull(name)
        val organisation = exchange.organisation
        val allowed =
            if (id != null) {
                holder.index.version(id) != null && organisation.allows(id)
            } else {
                holder.index.versions(ModelId(name)).any { organisation.allows(it.id) }
            }
        if (!allowed) {
            return notRun(
                ResultCode.UNKNOWN_MODEL,
                "model '$name' does not exist or this organisation may not use it",
            )
        }
        return (if (id != null) ModelSelector.Version(id) else ModelSelector.Model(ModelId(name))).right()
    }

    private fun parseServiceCall(exchange: Exchange): Either<Refusal, Call> {
        val rest = exchange.path.removePrefix(SERVICE_PREFIX)
        val name = rest.substringBefore('/').substringBefore('?')
        val path = rest.removePrefix(name).ifEmpty { "/" }
        val id = ServiceId(name)
        val declaration =
            holder.index
                .service(id)
                ?.takeIf { exchange.organisation.allows(id) }
                ?.callOrNull(exchange.method.name, path.substringBefore('?'))
                ?: return notRun(
                    ResultCode.UNKNOWN_SERVICE,
                    "service '$name' has no call ${exchange.method} $path that this organisation may use",
                )
        return Call.Service(id, path, declaration).right()
    }

    private fun parseJsonOrNull(text: String): JsonElement? =
        try {
            Json.parseToJsonElement(text)
        } catch (_: SerializationException) {
            null
        }

    private fun notRun(
        code: ResultCode,
        detail: String,
    ): Either<Refusal, Nothing> = Refusal.notRun(code, detail).left()

    private companion object {
        const val CHAT_PATH = "/v1/chat/completions"
        const val MODEL_LIST_PATH = "/v1/models"
        const val SERVICE_PREFIX = "/services/"
        const val ANY_MODEL = "auto"
        val MODEL_PATHS = setOf(CHAT_PATH, "/v1/completions")
    }
}
