package dev.almondhaven.store

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import com.linecorp.armeria.client.RequestOptions
import com.linecorp.armeria.client.ResponseTimeoutException
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.QueryParams
import com.linecorp.armeria.common.RequestHeaders
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.net.URI
import java.util.concurrent.CompletionException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Client of the platform's object API over HTTP.
 *
 * `GET|PUT|DELETE /objects/{key}` with ETags as versions (`If-Match`, `If-None-Match: *`),
 * `GET /objects?prefix=&after=&limit=` for listings and `GET /watch?prefix=&after=&wait=` as a long poll; `wait` is in
 * milliseconds.
 */
public class HttpObjectStore(
    address: URI,
    private val callTimeout: Duration = DEFAULT_CALL_TIMEOUT,
) : ObjectStore {
    private val client =
        WebClient
            .builder(address)
            .factory(ResponseHeadGuard.CLIENT_FACTORY)
            .responseTimeoutMillis(callTimeout.inWholeMilliseconds)
            .maxResponseLength(MAXIMUM_RESPONSE_BYTES)
            .build()

    override fun get(key: ObjectKey): Either<PlatformError, StoredObject?> =
        call(RequestHeaders.of(HttpMethod.GET, path(key))).flatMap { response ->
            when (response.status()) {
                HttpStatus.OK -> StoredObject(key, version(response), response.contentUtf8()).right()
                HttpStatus.NOT_FOUND -> null.right()
                else -> unexpected(response).left()
            }
        }

    override fun put(
        key: ObjectKey,
        value: String,
        condition: WriteCondition,
    ): Either<PlatformError, ObjectVersion> {
        val builder = RequestHeaders.builder(HttpMethod.PUT, path(key)).contentType(MediaType.JSON)
        when (condition) {
            WriteCondition.Absent -> builder.set(HttpHeaderNames.IF_NONE_MATCH, "*")
            is WriteCondition.AtVersion -> builder.set(HttpHeaderNames.IF_MATCH, "\"${condition.version.value}\"")
        }
        return call(builder.build(), value).flatMap { response ->
            when (response.status()) {
                HttpStatus.OK, HttpStatus.CREATED -> version(response).right()
                HttpStatus.PRECONDITION_FAILED -> PlatformError.ConditionFailed.left()
                HttpStatus.REQUEST_ENTITY_TOO_LARGE -> PlatformError.ValueTooLarge(value.toByteArray().size).left()
                else -> unexpected(response).left()
            }
        }
    }

    override fun delete(
        key: ObjectKey,
        version: ObjectVersion,
    ): Either<PlatformError, Unit> {
        val headers =
            RequestHeaders
                .builder(HttpMethod.DELETE, path(key))
                .set(HttpHeaderNames.IF_MATCH, "\"${version.value}\"")
                .build()
        return call(headers).flatMap { response ->
            when (response.status()) {
                HttpStatus.NO_CONTENT, HttpStatus.OK -> Unit.right()
                HttpStatus.PRECONDITION_FAILED, HttpStatus.NOT_FOUND -> PlatformError.ConditionFailed.left()
                else -> unexpected(response).left()
            }
        }
    }

    override fun list(
        prefix: String,
        after: ObjectKey?,
        limit: Int,
    ): Either<PlatformError, ObjectPage> {
        val query = QueryParams.builder().add("prefix", prefix).add("limit", limit.toString())
        after?.let { query.add("after", it.value) }
        return call(RequestHeaders.of(HttpMethod.GET, "/objects?${query.build().toQueryString()}"))
            .flatMap { response -> decode(response) { Json.decodeFromString(ObjectPage.serializer(), it) } }
    }

    override fun watch(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): Either<PlatformError, WatchResult> {
        val query =
            QueryParams.of(
                "prefix",
                prefix,
                "after",
                after.value.toString(),
                "wait",
                wait.inWholeMilliseconds.toString(),
            )
        val headers = RequestHeaders.of(HttpMethod.GET, "/watch?${query.toQueryString()}")
        return call(headers, timeout = wait + callTimeout).flatMap { response ->
            when (response.status()) {
                HttpStatus.GONE -> PlatformError.RevisionGone.left()
                else -> decode(response) { Json.decodeFromString(WatchResult.serializer(), it) }
            }
        }
    }

    private fun call(
        headers: RequestHeaders,
        body: String = "",
        timeout: Duration = callTimeout,
    ): Either<PlatformError, AggregatedHttpResponse> =
        try {
            val options =
                RequestOptions
                    .builder()
                    .responseTimeoutMillis(timeout.inWholeMilliseconds)
                    .build()
            client
                .execute(HttpRequest.of(onOwnConnection(headers), bodyOf(body)), options)
                .aggregate()
                .join()
                .right()
        } catch (exception: CompletionException) {
            errorOf(exception.cause ?: exception).left()
        }

    /** An answer doesn't say which call it answers, so no connection carries a second call. */
    private fun onOwnConnection(headers: RequestHeaders): RequestHeaders =
        headers.toBuilder().set(HttpHeaderNames.CONNECTION, "close").build()

    private fun bodyOf(body: String) = HttpData.ofUtf8(body)

    private fun errorOf(cause: Throwable): PlatformError =
        when (cause) {
            is UnprocessedRequestException -> PlatformError.NotSent("${cause.cause}")
            is ResponseTimeoutException -> PlatformError.NoAnswer("no response within the timeout")
            else -> PlatformError.NoAnswer("$cause")
        }

    private fun <T> decode(
        response: AggregatedHttpResponse,
        parse: (String) -> T,
    ): Either<PlatformError, T> {
        if (response.status() != HttpStatus.OK) return unexpected(response).left()
        return try {
            parse(response.contentUtf8()).right()
        } catch (exception: SerializationException) {
            PlatformError.NoAnswer("unreadable response: ${exception.message}").left()
        }
    }

    private fun unexpected(response: AggregatedHttpResponse): PlatformError =
        PlatformError.NoAnswer("unexpected status ${response.status()}")

    private fun version(response: AggregatedHttpResponse): ObjectVersion =
        ObjectVersion(
            response
                .headers()
                .get(HttpHeaderNames.ETAG)
                .orEmpty()
                .trim('"')
                .toLong(),
        )

    private fun path(key: ObjectKey): String = "/objects/${key.value}"

    public companion object {
        /** Default timeout of a call; a watch may take its wait time in addition. */
        public val DEFAULT_CALL_TIMEOUT: Duration = 2.seconds
        private const val MAXIMUM_RESPONSE_BYTES = 32_000_000L
    }
}
