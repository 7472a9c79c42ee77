package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
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

    private companion object {
        const val LIMIT_PER_SECOND = 0.1
        const val REQUESTS = 12

        /** The users allow one and a half times the limit in four seconds, and five more. */
        const val ALLOWANCE = 5
    }
}
