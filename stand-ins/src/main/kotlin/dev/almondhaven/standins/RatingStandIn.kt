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

/** A small stand-in for the rating service: `GET /ratings?after=CURSOR` lists what was [rate]d since. */
public class RatingStandIn {
    private val ratings = CopyOnWriteArrayList<Rating>()

    /** Whether the service fails every call. */
    @Volatile
    public var down: Boolean = false

    /** Publishes [rating]; publishing the same twice lists it twice. */
    public fun rate(rating: Rating) {
        ratings += rating
    }

    /** Adds the service's path to [builder]. */
    public fun addTo(builder: ServerBuilder) {
        builder.service("/ratings", HttpService { context, _ -> list(context.queryParam("after")) })
    }

    private fun list(after: String?): HttpResponse {
        if (down) return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE)
        val from = after?.toIntOrNull() ?: 0
        val page = ratings.drop(from).take(PAGE)
        val body = RatingPage(page, "${from + page.size}")
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, Json.encodeToString(RatingPage.serializer(), body))
    }

    private companion object {
        const val PAGE = 1_000
    }
}
