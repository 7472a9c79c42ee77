package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.startsWith

/** Guards against an endpoint that gets more requests than the limit that it states. */
class StatedLimitTest {
    private val endpoints =
        List(2) {
            ScriptedEndpoint {
                it.respond("", headers = WireSamples.answerHeaders(it.id) + WireSamples.limit(LIMIT_PER_SECOND))
            }
        }
    private val fixture = GatewayFixture(endpoints)

    @AfterEach
    fun end() = fixture.close()

    @Test
    fun `requests above the limits that the endpoints state are told to come back later`() {
        val responses = (1..REQUESTS).map { fixture.call("${WireSamples.UNARY_PATH}a", "r-$it") }

        expectThat(endpoints.map { it.requestHeads.size }).all { isLessThanOrEqualTo(ALLOWANCE) }
        expectThat(responses.filterNot { it.startsWith("HTTP/1.1 200 ") }).all {
            startsWith("HTTP/1.1 503 ")
            get { lowercase() }.contains("retry-after: ")
        }
    }

    /** Guards against LOST: the answer was discarded before the request for the larger model could be placed. */
    @Test
    fun `an answer of low confidence is kept while the limit leaves no room for a larger model`() {
        val endpoint =
            ScriptedEndpoint {
                val confidence = LOW_CONFIDENCE.takeIf { _ -> WireSamples.STREAM_PATH in it.head.first() }
                val limit = if (it.id.startsWith("r-")) listOf(WireSamples.limit(ONE_PER_SECOND)) else emptyList()
                it.respond(EVENT, headers = WireSamples.answerHeaders(it.id, confidence) + limit)
            }
        GatewayFixture(listOf(endpoint)).use { limited ->
            limited.call("${WireSamples.UNARY_PATH}a", "r-1")
            val response = limited.call("${WireSamples.STREAM_PATH}a", "r-2")

            expectThat(response).startsWith("HTTP/1.1 200 ").contains(EVENT)
            expectThat(endpoint.requestHeads.map { WireSamples.requestId(it) }).isEqualTo(listOf("r-1", "r-2"))
        }
    }

    private companion object {
        const val EVENT = "id: 1\ndata: e\n\n"
        const val LOW_CONFIDENCE = 20
        const val ONE_PER_SECOND = 1.0
        const val LIMIT_PER_SECOND = 0.1
        const val REQUESTS = 12

        /** The users allow one and a half times the limit in four seconds, and five more. */
        const val ALLOWANCE = 5
    }
}
