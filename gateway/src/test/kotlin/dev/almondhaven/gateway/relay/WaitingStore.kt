package dev.almondhaven.gateway.relay

import dev.almondhaven.gateway.net.CallerRequest
import dev.almondhaven.gateway.net.CallerServer
import dev.almondhaven.gateway.net.InFlightRequest
import dev.almondhaven.gateway.net.RequestHandler
import dev.almondhaven.gateway.net.ResponseWriter
import dev.almondhaven.platform.WireSamples
import dev.almondhaven.traffic.CallerLimits
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** A stand-in of the platform's store that keeps watches waiting, and counts the calls. */
internal class WaitingStore : AutoCloseable {
    private class Waiting(
        val kind: String,
        val since: Long,
        val writer: ResponseWriter,
    )

    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val server =
        CallerServer(group, { CallerLimits.BEFORE_CONFIGURATION }, { false }, RequestHandler(::serve))
    val address: String = "127.0.0.1:${(server.listen("127.0.0.1:0").localAddress() as InetSocketAddress).port}"
    private var revision = 5L
    private var isSilent = false
    private val created = HashMap<String, LinkedHashMap<String, String>>()
    private val changes = ArrayList<Triple<String, Long, String>>()
    private val waiting = ArrayList<Waiting>()
    val calls = AtomicInteger()

    /** Creates the object [name] of [kind], or replaces its [spec], as an operator or an endpoint does. */
    fun put(
        kind: String,
        name: String,
        spec: String = "{}",
    ): Unit = loop.submit { add(kind, name, spec) }.get().let {}

    /** Answers no call any more, also none that waits, until [resume]. */
    fun silence(): Unit =
        loop
            .submit {
                isSilent = true
                waiting.clear()
            }.get()
            .let {}

    fun resume(): Unit = loop.submit { isSilent = false }.get().let {}

    /** Number of watches that wait now. */
    fun watches(): Int = loop.submit<Int> { waiting.size }.get()

    private fun add(
        kind: String,
        name: String,
        spec: String,
    ) {
        revision++
        val metadata = """{"name":"$name","revision":$revision,"created":$revision}"""
        val entry = """{"metadata":$metadata,"spec":$spec,"status":null}"""
        created.getOrPut(kind, ::LinkedHashMap)[name] = entry
        changes += Triple(kind, revision, entry)
        val ready = waiting.filter { it.kind == kind }
        waiting -= ready.toSet()
        ready.forEach { respond(it.writer, events(kind, it.since)) }
    }

    private fun events(
        kind: String,
        since: Long,
    ): String {
        val newer = changes.filter { it.first == kind && it.second > since }
        return """{"events":[${newer.joinToString(
            ",",
        ) { """{"removed":false,"object":${it.third}}""" }}],"currentRev":$revision}"""
    }

    private fun serve(
        request: CallerRequest,
        writer: ResponseWriter,
    ): InFlightRequest {
        calls.incrementAndGet()
        val kind = request.path.removePrefix("/objects/").substringBefore('/')
        val query =
            request.target.substringAfter('?', "").split('&').associate {
                it.substringBefore('=') to
                    it.substringAfter('=')
            }
        val since = query["watch"]?.toLong()
        when {
            isSilent -> {
                Unit
            }

            request.method == "POST" -> {
                val body = request.body.toString(Charsets.UTF_8)
                add(
                    kind,
                    NAME.find(body)!!.groupValues[1],
                    "{${body.substringAfter(""""spec":{""").substringBefore('}')}}",
                )
                respond(writer, "{}")
            }

            since == null -> {
                respond(writer, list(request.path, kind, after = query["after"]))
            }

            changes.any { it.first == kind && it.second > since } -> {
                respond(writer, events(kind, since))
            }

            else -> {
                hold(Waiting(kind, since, writer), query["waitMs"]?.toLong() ?: 0)
            }
        }
        return object : InFlightRequest {
            override fun onCallerDisconnected() {
                waiting.removeIf { it.writer === writer }
            }

            override fun onCallerWritable() = Unit
        }
    }

    private fun list(
        path: String,
        kind: String,
        after: String?,
    ): String {
        val entries = created[kind].orEmpty()
        if (entries.isEmpty()) {
            val sample = WireSamples.storeBody(path, listOf("127.0.0.1:9"))
            return sample.replace(""""currentRev":5}""", """"currentRev":$revision}""")
        }
        val left = entries.filterKeys { after == null || it > after }.toSortedMap()
        var bytes = 0
        val page = left.values.takeWhile { entry -> (bytes < PAGE_BYTES).also { bytes += entry.length } }
        val isTruncated = page.size < left.size
        return """{"items":[${page.joinToString(",")}],"truncated":$isTruncated,"currentRev":$revision}"""
    }

    private fun hold(
        watch: Waiting,
        millis: Long,
    ) {
        waiting += watch
        loop.schedule({
            if (waiting.remove(watch)) respond(watch.writer, events(watch.kind, watch.since))
        }, millis, TimeUnit.MILLISECONDS)
    }

    private fun respond(
        writer: ResponseWriter,
        body: String,
    ): Unit = writer.respond(200, listOf("Content-Type" to "application/json"), body.toByteArray())

    override fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    private companion object {
        const val PAGE_BYTES = 1_000_000
        val NAME = Regex(""""name":"([^"]+)"""")
    }
}
