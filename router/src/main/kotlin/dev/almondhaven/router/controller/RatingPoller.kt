package dev.almondhaven.router.controller

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpStatus
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.Rating
import dev.almondhaven.model.RatingPage
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.Json
import java.net.URLEncoder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Polls the rating service on a thread of its own. A service that fails is asked again at the next interval. */
internal class RatingPoller(
    address: String,
    private val interval: Duration,
    private val onRatings: (List<Rating>) -> Unit,
) : AutoCloseable {
    private val client =
        WebClient
            .builder(address)
            .responseTimeoutMillis(TIMEOUT_MILLIS)
            .build()
            .blocking()
    private val json = Json { ignoreUnknownKeys = true }
    private var cursor = ""
    private var available = true

    @Volatile
    private var duty: ActorThread<Unit>? = null

    fun start() {
        duty = ActorThread.start("ratings", RING, interval, onTick = ::poll) { poll() }
    }

    override fun close() {
        duty?.stop(STOP_PATIENCE)
    }

    private fun poll() {
        repeat(MAXIMUM_PAGES) {
            val page = read() ?: return
            if (page.ratings.isEmpty()) return
            cursor = page.next
            onRatings(page.ratings)
        }
    }

    private fun read(): RatingPage? {
        val page = runCatching { request() }
        page.exceptionOrNull()?.let { cause ->
            if (available) LogEvent.RATINGS_UNAVAILABLE.log(logger) { "cause=$cause" }
        }
        available = page.isSuccess
        return page.getOrNull()
    }

    private fun request(): RatingPage {
        val response = client.get("/ratings?after=${URLEncoder.encode(cursor, Charsets.UTF_8)}")
        check(response.status() == HttpStatus.OK) { "the rating service answered ${response.status()}" }
        return json.decodeFromString(RatingPage.serializer(), response.contentUtf8())
    }

    private companion object {
        const val RING = 2
        const val TIMEOUT_MILLIS = 2_000L
        const val MAXIMUM_PAGES = 20
        val STOP_PATIENCE = 1.milliseconds
    }
}
