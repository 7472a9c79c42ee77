package dev.almondhaven.standins

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import dev.almondhaven.model.Rating
import dev.almondhaven.model.RatingPage
import kotlinx.serialization.json.Json
import java.util.concurrent.CopyOnWriteArrayList

/** Stand-in for the rating service: `GET /ratings?after=CURSOR` returns the ratings published after that cursor. */
public class RatingStandIn {
    private val ratings = CopyOnWriteArrayList<Rating>()

    /** Whether every call fails with status 503. */
    @Volatile
    public var down: Boolean = false

    /** Publishes [rating]. A rating published twice is listed twice. */
    public fun rate(rating: Rating) {
        ratings += rating
    }

    /** Adds the service's path to [builder]. */
    public fun addTo(builder: ServerBuilder) {
        builder.service("/ratings", HttpService { context, _ -> list(context.queryParam("after")) })
    }

    private fun list(after: String?): HttpResponse {
        if (down) return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE)
        val start = after?.toIntOrNull() ?: 0
        val page = ratings.drop(start).take(PAGE_SIZE)
        val body = RatingPage(page, "${start + page.size}")
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, Json.encodeToString(RatingPage.serializer(), body))
    }

    private companion object {
        const val PAGE_SIZE = 1_000
    }
}
