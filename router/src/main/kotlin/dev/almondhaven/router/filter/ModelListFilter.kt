package dev.almondhaven.router.filter

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.router.controller.CatalogueHolder
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import java.util.concurrent.CompletableFuture

/** Answers `GET /v1/models` with the model versions that the organisation may use now. */
internal class ModelListFilter(
    private val holder: CatalogueHolder,
) : RequestFilter {
    override fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        if (exchange.call != Call.ModelList) return next.handle(exchange)
        val versions = holder.index.allowedVersions(exchange.organisation.id)
        val body =
            buildJsonObject {
                put("object", JsonPrimitive("list"))
                put("data", buildJsonArray { versions.forEach { add(describe(it)) } })
            }
        return Answer.Complete(HttpStatus.OK, MediaType.JSON, HttpData.ofUtf8(body.toString())).completed()
    }

    private fun describe(version: ModelVersion): JsonObject =
        buildJsonObject {
            put("id", JsonPrimitive(version.id.toString()))
            put("object", JsonPrimitive("model"))
            put("owned_by", JsonPrimitive(version.model.value))
        }
}
