package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isFalse
import strikt.assertions.startsWith
import java.util.concurrent.TimeUnit

/** Guards against an entry of another writer that keeps the router from following the others. */
class OddEntryTest {
    private val kinds = WireSamples.oddEndpointEntries("127.0.0.1:1").keys

    private fun endpoint() = ScriptedEndpoint { it.respond("") }

    @TestFactory
    fun `beside an odd entry in the list the router serves, and follows later changes`(): List<DynamicTest> =
        kinds.map { kind ->
            dynamicTest(kind) {
                checkOtherEntries(listed = kind, changed = null)
            }
        }

    @TestFactory
    fun `after an odd change the router serves, and follows later changes`(): List<DynamicTest> =
        kinds.map { kind ->
            dynamicTest(kind) {
                checkOtherEntries(listed = null, changed = kind)
            }
        }

    private fun checkOtherEntries(
        listed: String?,
        changed: String?,
    ) {
        val odd = endpoint()
        val later = endpoint()
        val oddEntries = WireSamples.oddEndpointEntries(odd.address)
        val fixture = GatewayFixture(listOf(endpoint()), otherEntries = listOfNotNull(listed?.let(oddEntries::get)))
        try {
            fixture.endpointChanges += WireSamples.endpointChanges(listOfNotNull(changed?.let(oddEntries::get)))
            TimeUnit.MILLISECONDS.sleep(CHANGE_MILLIS)
            expectThat(fixture.callSome()).all { startsWith("HTTP/1.1 200 ") }

            val laterEntry = WireSamples.endpointEntry("later", later.address)
            fixture.endpointChanges += WireSamples.endpointChanges(listOf(laterEntry), removed = listOf("i-0"))
            TimeUnit.MILLISECONDS.sleep(CHANGE_MILLIS)
            expectThat(fixture.callSome()).all { startsWith("HTTP/1.1 200 ") }
            expectThat(later.requestHeads.isEmpty()).isFalse()
            expectThat(odd.requestHeads.toList()).isEmpty()
        } finally {
            fixture.close()
            odd.close()
            later.close()
        }
    }

    private fun GatewayFixture.callSome(): List<String> =
        (1..CALLS).map { call("${WireSamples.UNARY_PATH}a", "r-${callNumber++}") }

    private var callNumber = 0

    private companion object {
        const val CALLS = 6

        /** The router waits for a third of the fixture's drain time of 2 s before it watches again. */
        const val CHANGE_MILLIS = 1_500L
    }
}
