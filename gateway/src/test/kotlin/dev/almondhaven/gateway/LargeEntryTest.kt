package dev.almondhaven.gateway

import dev.almondhaven.gateway.relay.WaitingStore
import dev.almondhaven.platform.WireSamples
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isTrue
import java.net.Socket
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/**
 * Guards against DRAIN: entries of another writer, each as long as the store allows, filled the heap, and the router heard
 * of no endpoint any more. Runs a router process with the heap of a small VM.
 */
class LargeEntryTest {
    @TempDir
    lateinit var folder: Path

    private val store = WaitingStore()
    private val leaving = ScriptedEndpoint { it.respond("") }
    private val staying = ScriptedEndpoint { it.respond("") }
    private var callNumber = 0

    @AfterEach
    fun end(): Unit = listOf(store, leaving, staying).forEach { it.close() }

    private fun putEndpoint(
        id: String,
        endpoint: ScriptedEndpoint,
        isLeaving: Boolean = false,
    ): Unit = store.put(KIND, id, WireSamples.endpointSpec(endpoint.address, isLeaving))

    private fun putLargeEntry(number: Int): Unit = store.put(KIND, "other-$number", WireSamples.largeSpec(ENTRY_BYTES))

    private fun call(router: RunningRouter): String =
        Socket("127.0.0.1", router.callerPort).use { socket ->
            val callHeaders = WireSamples.callHeaders("r-${callNumber++}")
            val headers = callHeaders.joinToString("") { (name, value) -> "$name: $value\r\n" }
            val head = "GET ${WireSamples.UNARY_PATH}a HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
            socket.getOutputStream().write("$head$headers\r\n".toByteArray())
            String(socket.getInputStream().readAllBytes())
        }

    /** Whether the router comes to send all requests to the endpoint that stays. */
    private fun hearsOfLeaving(router: RunningRouter): Boolean =
        (1..MAX_ROUNDS).any {
            TimeUnit.MILLISECONDS.sleep(ROUND_MILLIS)
            leaving.requestHeads.clear()
            val answers = List(CALLS_IN_ROUND) { call(router) }
            leaving.requestHeads.isEmpty() && answers.all { it.startsWith("HTTP/1.1 200 ") }
        }

    @Test
    fun `a router that starts beside them becomes ready, and hears of an endpoint that leaves`() {
        putEndpoint("i-leaving", leaving)
        putEndpoint("i-staying", staying)
        repeat(ENTRIES, ::putLargeEntry)
        RunningRouter("router", folder, store.address).use { router ->
            router.awaitReady()
            putEndpoint("i-leaving", leaving, isLeaving = true)
            expectThat(hearsOfLeaving(router)).isTrue()
        }
    }

    @Test
    fun `a router that runs hears of an endpoint that leaves after they were written`() {
        putEndpoint("i-leaving", leaving)
        putEndpoint("i-staying", staying)
        RunningRouter("router", folder, store.address).use { router ->
            router.awaitReady()
            repeat(ENTRIES) { number ->
                putLargeEntry(number % WRITERS)
                TimeUnit.MILLISECONDS.sleep(WRITE_INTERVAL_MILLIS)
            }
            putEndpoint("i-leaving", leaving, isLeaving = true)
            expectThat(hearsOfLeaving(router)).isTrue()
        }
    }

    private companion object {
        const val KIND = "servers"

        /** About the most that the platform's store takes for an object. */
        const val ENTRY_BYTES = 1_000_000
        const val ENTRIES = 50
        const val WRITERS = 5
        const val WRITE_INTERVAL_MILLIS = 100L
        const val MAX_ROUNDS = 100
        const val ROUND_MILLIS = 100L
        const val CALLS_IN_ROUND = 8
    }
}
