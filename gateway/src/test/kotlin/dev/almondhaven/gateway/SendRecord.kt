package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** The events of the streams: the same for each run of a caller's request on one model. */
internal object StreamText {
    const val EVENT_COUNT = 8

    fun event(
        number: Int,
        send: Send,
    ): String = "id: $number\ndata: event $number for ${send.requestId.substringBefore('_')} by ${send.model}\n\n"
}

/**
 * One arrival of a request at an endpoint, and the endpoint's answer to it.
 *
 * @property signature the endpoint's name and a number; no other send has the same.
 * @property connection port of the router's end of the connection.
 * @property resumeAfter number of the last event that the caller already has.
 */
internal class Send(
    val signature: String,
    val requestId: String,
    val connection: Int,
    val model: String,
    val resumeAfter: Int,
    private val clock: () -> Duration,
) {
    val endpoint: String get() = signature.substringBefore('.')
    val arrivedAt = clock()

    @Volatile
    var answeredAt: Duration? = null
        private set

    /** Status of the answer; 0 before there is one. */
    @Volatile
    var status = 0

    @Volatile
    var hasRun = false

    /** Whether the endpoint broke its answer off on purpose. */
    @Volatile
    var isBrokenOff = false

    /** All of the answer's body, as text without chunks. */
    @Volatile
    var body = ""
    val isSuccess: Boolean get() = status in 200..299

    /** Times at which second copies of the answer were sent. */
    val copiedAt = CopyOnWriteArrayList<Duration>()

    fun answered() {
        answeredAt = clock()
    }

    fun copied() {
        copiedAt += clock()
    }

    override fun toString(): String =
        "${inMillis(arrivedAt)}: $signature on connection $connection model=$model resumeAfter=$resumeAfter " +
            "answers $status at ${inMillis(answeredAt)}${if (isBrokenOff) " and breaks off" else ""}" +
            copiedAt.joinToString("") { ", again at ${inMillis(it)}" }
}

internal fun inMillis(time: Duration?): String = time?.toString(DurationUnit.MILLISECONDS, decimals = 2).orEmpty()

/** All sends of a run, by request. */
internal class SendRecord {
    private val startedAt = TimeSource.Monotonic.markNow()
    private val sends = ConcurrentHashMap<String, CopyOnWriteArrayList<Send>>()

    fun now(): Duration = startedAt.elapsedNow()

    fun arrival(
        signature: String,
        connection: Int,
        head: List<String>,
    ): Send {
        val resumeAfter = WireSamples.lastEventId(head).ifEmpty { "0" }.toInt()
        val id = WireSamples.requestId(head)
        return Send(signature, id, connection, WireSamples.model(head), resumeAfter, ::now).also { sendsOf(id) += it }
    }

    fun sendsOf(requestId: String): MutableList<Send> = sends.computeIfAbsent(requestId) { CopyOnWriteArrayList() }

    fun bySignature(): Map<String, Send> = sends.values.flatten().associateBy { it.signature }
}
