package dev.almondhaven.gateway

import dev.almondhaven.gateway.ScriptedEndpoint.ReceivedRequest
import dev.almondhaven.platform.WireSamples
import java.io.IOException
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * How often endpoints misbehave, as shares from 0 to 1.
 *
 * @property secondCopies share of all answers that are sent a second time, late and on the same connection.
 * @property refusals share of requests that are refused, as not run, although there is room.
 * @property failures share of requests that run and fail with status 500.
 * @property breaks share of streams that break off in the middle of an event.
 * @property longestDelayMillis longest delay of a second copy that does not wait for the connection's next request.
 */
internal data class Disturbance(
    val secondCopies: Double,
    val refusals: Double,
    val failures: Double,
    val breaks: Double,
    val longestDelayMillis: Long,
)

/**
 * An endpoint whose answers bear a signature of their own for each send of a request, and some of which it sends twice.
 *
 * @property name its id in the store.
 * @property places requests that it takes at a time; beyond them it refuses.
 * @property streams whether it answers with events instead of a whole body.
 */
internal class StutteringEndpoint(
    private val name: String,
    seed: Int,
    private val disturbance: Disturbance,
    private val record: SendRecord,
    private val slots: Int,
    private val places: Int,
    private val streams: Boolean,
) : AutoCloseable {
    /** One connection of a router. Whole answers are written one after the other, also the late copies. */
    private class Connection(
        val number: Int,
    ) {
        /** Second copy that is sent when the connection's next request arrives. */
        var heldCopy: Pair<Send, String>? = null
    }

    private val random = Random(seed)
    private val sendCount = AtomicInteger()
    private val taken = AtomicInteger()
    private val freeSlots = Semaphore(slots)
    private val connections = ConcurrentHashMap<Socket, Connection>()
    private val endpoint: ScriptedEndpoint = ScriptedEndpoint(::serve)
    val address: String get() = endpoint.address

    private fun chance(share: Double): Boolean = synchronized(random) { random.nextDouble() } < share

    private fun upTo(bound: Long): Long = synchronized(random) { random.nextLong(bound) }

    private fun serve(request: ReceivedRequest) {
        // The list would grow with each request, and its copies with it.
        endpoint.requestHeads.clear()
        request.socket.tcpNoDelay = true
        val connection = connections.computeIfAbsent(request.socket) { Connection(it.port) }
        val send = record.arrival("$name.${sendCount.incrementAndGet()}", connection.number, request.head)
        synchronized(connection) {
            connection.heldCopy?.let { (earlier, copy) -> writeCopy(earlier, copy, request) }
            connection.heldCopy = null
        }
        val parts = answer(send)
        val isBroken = streams && send.isSuccess && chance(disturbance.breaks)
        synchronized(connection) {
            send.answered()
            send.isBrokenOff = isBroken
            if (isBroken) return breakOff(request, parts)
            writeParts(request, parts)
        }
        if (chance(disturbance.secondCopies)) repeatLater(send, parts.joinToString(""), connection, request)
    }

    private fun answer(send: Send): List<String> {
        val isFull = taken.incrementAndGet() > places
        try {
            if (isFull || chance(disturbance.refusals)) return refusal(send)
            freeSlots.acquire()
            return run(send).also { freeSlots.release() }
        } finally {
            taken.decrementAndGet()
        }
    }

    private fun refusal(send: Send): List<String> {
        send.status = REFUSED
        val headers = listOf("Content-Length" to "0", WireSamples.notRun())
        return listOf(head("503 Service Unavailable", send, headers))
    }

    private fun run(send: Send): List<String> {
        send.hasRun = true
        TimeUnit.MILLISECONDS.sleep(SHORTEST_RUN_MILLIS + upTo(SHORTEST_RUN_MILLIS))
        if (chance(disturbance.failures)) {
            send.status = FAILED
            return listOf(head("500 Internal Server Error", send, listOf("Content-Length" to "0")))
        }
        send.status = OK
        if (streams) return stream(send)
        send.body = "answer ${send.signature} to ${send.requestId}".padEnd(BODY_LENGTH, '.')
        return listOf(head("200 OK", send, listOf("Content-Length" to "${send.body.length}")) + send.body)
    }

    private fun stream(send: Send): List<String> {
        val isUnsure = send.model == "m0" && chance(UNSURE_SHARE)
        val confidence = if (isUnsure) LOW_CONFIDENCE else HIGH_CONFIDENCE
        val events = (send.resumeAfter + 1..EVENT_COUNT).map { StreamText.event(it, send) }
        send.body = events.joinToString("")
        val chunks = events.map { "${it.length.toString(HEXADECIMAL)}\r\n$it\r\n" }
        val head = head("200 OK", send, listOf("Transfer-Encoding" to "chunked"), confidence)
        return listOf(head) + chunks + "0\r\n\r\n"
    }

    private fun head(
        status: String,
        send: Send,
        own: List<Pair<String, String>>,
        confidence: Int? = null,
    ): String {
        val headers = WireSamples.answerHeaders(send.requestId, confidence, send.signature) + own
        // What did not run has no signature.
        val sent = if (send.hasRun) headers else headers.filter { (_, value) -> value != send.signature }
        return "HTTP/1.1 $status\r\n" + sent.joinToString("") { (name, value) -> "$name: $value\r\n" } + "\r\n"
    }

    private fun writeParts(
        request: ReceivedRequest,
        parts: List<String>,
    ) {
        parts.forEachIndexed { number, part ->
            if (number > 0) TimeUnit.MILLISECONDS.sleep(EVENT_PAUSE_MILLIS)
            request.write(part)
        }
    }

    private fun breakOff(
        request: ReceivedRequest,
        parts: List<String>,
    ) {
        val whole = 1 + upTo(parts.size - 1L).toInt()
        writeParts(request, parts.take(whole))
        request.write(parts[whole].dropLast(parts[whole].length / 2))
        request.socket.close()
    }

    private fun repeatLater(
        send: Send,
        copy: String,
        connection: Connection,
        request: ReceivedRequest,
    ) {
        if (chance(HELD_SHARE)) {
            synchronized(connection) { connection.heldCopy = send to copy }
            return
        }
        val delay = upTo(disturbance.longestDelayMillis)
        thread(isDaemon = true) {
            TimeUnit.MILLISECONDS.sleep(delay)
            synchronized(connection) { writeCopy(send, copy, request) }
        }
    }

    private fun writeCopy(
        send: Send,
        copy: String,
        request: ReceivedRequest,
    ) {
        try {
            request.write(copy)
            send.copied()
        } catch (_: IOException) {
            // The router has closed the connection.
        }
    }

    override fun close(): Unit = endpoint.close()

    private companion object {
        const val OK = 200
        const val FAILED = 500
        const val REFUSED = 503
        const val EVENT_COUNT = StreamText.EVENT_COUNT
        const val EVENT_PAUSE_MILLIS = 5L
        const val SHORTEST_RUN_MILLIS = 10L
        const val BODY_LENGTH = 400
        const val HEXADECIMAL = 16
        const val UNSURE_SHARE = 0.3
        const val LOW_CONFIDENCE = 20
        const val HIGH_CONFIDENCE = 95

        /** Share of the second copies that wait for the connection's next request. */
        const val HELD_SHARE = 0.5
    }
}
