package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith

/** Starts a gateway while the store is slow for one kind of objects. */
class GatewayStartTest {
    private val endpoint = ScriptedEndpoint { it.respond("served") }
    private var fixture: GatewayFixture? = null

    @AfterEach
    fun end() {
        fixture?.close()
    }

    private fun start(
        heldPath: String,
        evacuatedDomain: String?,
    ) = GatewayFixture(
        listOf(endpoint),
        heldPath = heldPath,
        evacuatedDomain = evacuatedDomain,
    ).also { fixture = it }

    private fun GatewayFixture.callUnary(id: String) = call("${WireSamples.UNARY_PATH}a", id)

    @Nested
    inner class `a router that has started but does not know the evacuated failure domains` {
        @Test
        fun `sends nothing to any endpoint, and rejects with the time to come back`() {
            val fixture = start(WireSamples.EVACUATIONS_PATH, evacuatedDomain = "here")
            val before = fixture.callUnary("r-1")
            fixture.releaseStore()
            val after = fixture.callUnary("r-2")

            expectThat(before).startsWith("HTTP/1.1 503 ")
            expectThat(after).startsWith("HTTP/1.1 503 ")
            expectThat(endpoint.requestHeads.size).isEqualTo(0)
        }

        @Test
        fun `serves once it knows them`() {
            val fixture = start(WireSamples.EVACUATIONS_PATH, evacuatedDomain = null)
            val before = fixture.callUnary("r-1")
            fixture.releaseStore()

            expectThat(before).startsWith("HTTP/1.1 503 ")
            expectThat(fixture.callUnary("r-2")).startsWith("HTTP/1.1 200 ")
        }
    }
}
