package dev.almondhaven.gateway.relay

import dev.almondhaven.gateway.call.RouterResponse
import dev.almondhaven.gateway.duty.RecurringTask
import dev.almondhaven.gateway.duty.forEachIsolated
import dev.almondhaven.gateway.net.CallerRequest
import dev.almondhaven.gateway.net.CompletedRequest
import dev.almondhaven.gateway.net.InFlightRequest
import dev.almondhaven.gateway.net.RequestHandler
import dev.almondhaven.gateway.net.ResponseWriter
import dev.almondhaven.model.NanoClock
import dev.almondhaven.platform.RelayAnswer
import io.netty.channel.EventLoop
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/**
 * Answers routers that follow this one: at once if it knows more than they do, otherwise when something changes or is
 * confirmed anew, and after the time for which they wait. Must be used on the event loop only.
 */
internal class RelayHandler(
    private val source: RelaySource,
    private val loop: EventLoop,
    private val clock: NanoClock,
) : RequestHandler {
    private val waiting = LinkedHashSet<PendingAnswer>()

    /** Refuses the requests that wait as soon as this router should not be relied on any more. */
    val checks = RecurringTask(NAME, loop, CHECK_INTERVAL, { waiting.isNotEmpty() }, ::check)

    override fun serve(
        request: CallerRequest,
        writer: ResponseWriter,
    ): InFlightRequest {
        val query =
            RelayQuery.decode(request.target)
                ?: return refuse(writer, BAD_REQUEST, "expected ${RelayQuery.PATH}?since=KIND:REVISION&wait=MILLIS")
        if (!source.isReader) return refuse(writer, UNAVAILABLE, "this router does not read the store")
        val pending = PendingAnswer(query, request, writer)
        if (pending.hasNews()) pending.answer() else pending.hold()
        return pending
    }

    private fun refuse(
        writer: ResponseWriter,
        status: Int,
        reason: String,
    ): InFlightRequest {
        writer.respond(RouterResponse.of(status, null, reason))
        return CompletedRequest
    }

    /** Answers the requests for which something is new. */
    fun onChange(): Unit = waiting.filter { it.hasNews() }.forEachIsolated(NAME) { it.answer() }

    /** Answers all requests, since the configuration has been confirmed anew or this router reads no more. */
    fun answerAll(): Unit = waiting.toList().forEachIsolated(NAME) { it.answer() }

    private fun check() {
        if (!source.isReader) answerAll()
    }

    private inner class PendingAnswer(
        private val query: RelayQuery,
        private val request: CallerRequest,
        private val writer: ResponseWriter,
    ) : InFlightRequest {
        private var timer: Future<*>? = null

        fun hasNews(): Boolean = source.histories.any { it.hasNewsSince(query.since[it.kind] ?: 0) }

        fun hold() {
            waiting += this
            checks.resume()
            timer = loop.schedule(::answer, query.wait.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        }

        fun answer() {
            release()
            if (!source.isReader) return refuseNow("this router does not read the store any more")
            val kinds = source.histories.mapNotNull { it.since(query.since[it.kind] ?: 0) }
            val held = clock.elapsed(request.receivedAt)
            val answer = RelayAnswer(source.confirmationAge, held, source.sinceRecovery, kinds)
            writer.respond(OK, listOf("Content-Type" to "application/json"), answer.encode().toByteArray())
        }

        private fun refuseNow(reason: String): Unit = writer.respond(RouterResponse.of(UNAVAILABLE, null, reason))

        private fun release() {
            waiting -= this
            timer?.cancel(false)
        }

        override fun onCallerDisconnected(): Unit = release()

        override fun onCallerWritable() = Unit

        override fun onShutdown() {
            release()
            refuseNow("the router stops")
        }
    }

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val UNAVAILABLE = 503
        val CHECK_INTERVAL = 100.milliseconds
        const val NAME = "answers to followers"
    }
}
