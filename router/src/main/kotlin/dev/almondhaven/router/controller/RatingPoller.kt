package dev.almondhaven.router.controller

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpStatus
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.Rating
import dev.almondhaven.model.RatingPage
import dev.almondhaven.store.ResponseHeadGuard
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.Json
import java.net.URLEncoder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Polls the rating service on its own thread. After a failure it tries again at the next interval. */
internal class RatingPoller(
    address: String,
    private val interval: Duration,
    private val onRatings: (List<Rating>) -> Unit,
) : AutoCloseable {
    private val client =
        WebClient
            .builder(address)
            .factory(ResponseHeadGuard.CLIENT_FACTORY)
            .responseTimeoutMillis(RESPONSE_TIMEOUT_MILLIS)
            .build()
            .blocking()
    private val json = Json { ignoreUnknownKeys = true }
    private var cursor = ""
    private var available = true

    @Volatile
    private var actor: ActorThread<Unit>? = null

    fun start() {
        actor = ActorThread.start("ratings", MAILBOX_CAPACITY, interval, onTick = ::poll) { poll() }
    }

    override fun close() {
        actor?.stop(STOP_TIMEOUT)
    }

    private fun poll() {
        repeat(MAX_PAGES_PER_POLL) {
            val page = readPageOrNull() ?: return
            if (page.ratings.isEmpty()) return
            cursor = page.next
            onRatings(page.ratings)
        }
    }

    private fun readPageOrNull(): RatingPage? {
        val page = runCatching { requestPage() }
        page.exceptionOrNull()?.let { cause ->
            if (available) LogEvent.RATINGS_UNAVAILABLE.log(logger) { "cause=$cause" }
        }
        available = page.isSuccess
        return page.getOrNull()
    }

    private fun requestPage(): RatingPage {
        val response = client.get("/ratings?after=${URLEncoder.encode(cursor, Charsets.UTF_8)}")
        check(response.status() == HttpStatus.OK) { "the rating service returned status ${response.status()}" }
        return json.decodeFromString(RatingPage.serializer(), response.contentUtf8())
    }

    private companion object {
        const val MAILBOX_CAPACITY = 2
        const val RESPONSE_TIMEOUT_MILLIS = 2_000L
        const val MAX_PAGES_PER_POLL = 20
        val STOP_TIMEOUT = 1.milliseconds
    }
}
