package dev.almondhaven.standins

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
import dev.almondhaven.store.ObjectKey
import dev.almondhaven.store.ObjectPage
import dev.almondhaven.store.ObjectStore
import dev.almondhaven.store.ObjectVersion
import dev.almondhaven.store.PlatformError
import dev.almondhaven.store.Revision
import dev.almondhaven.store.WatchResult
import dev.almondhaven.store.WriteCondition
import kotlinx.serialization.json.Json
import kotlin.time.Duration.Companion.milliseconds

/** Serves an [ObjectStore] over the HTTP protocol of the platform's object API. */
public class ObjectStoreServer(
    private val objects: ObjectStore,
) {
    /** Adds the API's paths to [builder]. */
    public fun addTo(builder: ServerBuilder) {
        builder.service("/objects", blocking(::list))
        builder.service("/watch", blocking(::watch))
        builder.service("prefix:/objects/", blocking(::handleObject))
        builder.requestTimeoutMillis(0)
        builder.maxRequestLength(MAX_REQUEST_BYTES)
    }

    private fun blocking(handle: (ServiceRequestContext, HttpMethod, String) -> HttpResponse) =
        HttpService { context, request: HttpRequest ->
            HttpResponse.of(
                request.aggregate().thenApplyAsync(
                    { handle(context, it.method(), it.contentUtf8()) },
                    context.blockingTaskExecutor(),
                ),
            )
        }

    private fun handleObject(
        context: ServiceRequestContext,
        method: HttpMethod,
        body: String,
    ): HttpResponse {
        val key = ObjectKey(context.mappedPath().removePrefix("/"))
        return when (method) {
            HttpMethod.GET -> get(key)
            HttpMethod.PUT -> put(context, key, body)
            HttpMethod.DELETE -> delete(context, key)
            else -> HttpResponse.of(HttpStatus.METHOD_NOT_ALLOWED)
        }
    }

    private fun get(key: ObjectKey): HttpResponse =
        objects.get(key).fold(::errorResponse) { stored ->
            if (stored == null) {
                HttpResponse.of(HttpStatus.NOT_FOUND)
            } else {
                val headers =
                    ResponseHeaders
                        .builder(HttpStatus.OK)
                        .contentType(MediaType.JSON)
                        .set(HttpHeaderNames.ETAG, entityTag(stored.version))
                        .build()
                HttpResponse.of(headers, HttpData.ofUtf8(stored.value))
            }
        }

    private fun put(
        context: ServiceRequestContext,
        key: ObjectKey,
        body: String,
    ): HttpResponse {
        val condition = ifMatchVersion(context)?.let { WriteCondition.AtVersion(it) } ?: WriteCondition.Absent
        return objects.put(key, body, condition).fold(::errorResponse) { version ->
            HttpResponse.of(
                ResponseHeaders.builder(HttpStatus.OK).set(HttpHeaderNames.ETAG, entityTag(version)).build(),
            )
        }
    }

    private fun delete(
        context: ServiceRequestContext,
        key: ObjectKey,
    ): HttpResponse {
        val version = ifMatchVersion(context) ?: return HttpResponse.of(HttpStatus.PRECONDITION_REQUIRED)
        return objects.delete(key, version).fold(::errorResponse) { HttpResponse.of(HttpStatus.NO_CONTENT) }
    }

    private fun list(
        context: ServiceRequestContext,
        @Suppress("UNUSED_PARAMETER") method: HttpMethod,
        @Suppress("UNUSED_PARAMETER") body: String,
    ): HttpResponse {
        val limit = context.queryParam("limit")?.toIntOrNull() ?: ObjectStore.DEFAULT_PAGE_SIZE
        val after = context.queryParam("after")?.let { ObjectKey(it) }
        return objects.list(context.queryParam("prefix").orEmpty(), after, limit).fold(::errorResponse) {
            HttpResponse.of(HttpStatus.OK, MediaType.JSON, Json.encodeToString(ObjectPage.serializer(), it))
        }
    }

    private fun watch(
        context: ServiceRequestContext,
        @Suppress("UNUSED_PARAMETER") method: HttpMethod,
        @Suppress("UNUSED_PARAMETER") body: String,
    ): HttpResponse {
        val after = Revision(context.queryParam("after")?.toLongOrNull() ?: 0)
        val wait = (context.queryParam("wait")?.toLongOrNull() ?: 0).milliseconds
        return objects.watch(context.queryParam("prefix").orEmpty(), after, wait).fold(::errorResponse) {
            HttpResponse.of(HttpStatus.OK, MediaType.JSON, Json.encodeToString(WatchResult.serializer(), it))
        }
    }

    private fun errorResponse(error: PlatformError): HttpResponse =
        when (error) {
            PlatformError.ConditionFailed -> HttpResponse.of(HttpStatus.PRECONDITION_FAILED)
            PlatformError.RevisionGone -> HttpResponse.of(HttpStatus.GONE)
            is PlatformError.ValueTooLarge -> HttpResponse.of(HttpStatus.REQUEST_ENTITY_TOO_LARGE)
            is PlatformError.NotSent, is PlatformError.NoAnswer -> HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE)
        }

    private fun ifMatchVersion(context: ServiceRequestContext): ObjectVersion? =
        context
            .request()
            .headers()
            .get(HttpHeaderNames.IF_MATCH)
            ?.trim('"')
            ?.toLongOrNull()
            ?.let { ObjectVersion(it) }

    private fun entityTag(version: ObjectVersion): String = "\"${version.value}\""

    private companion object {
        const val MAX_REQUEST_BYTES = 2_000_000L
    }
}
