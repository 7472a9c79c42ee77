package dev.almondhaven.gateway.state

import dev.almondhaven.gateway.net.ConnectionPool
import dev.almondhaven.gateway.net.HeadAction
import dev.almondhaven.gateway.net.OutboundCall
import dev.almondhaven.gateway.net.OutboundListener
import dev.almondhaven.gateway.net.OutboundRequest
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.platform.StoreCall
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaders
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/** Calls to the platform's store. Lives on the event loop. */
internal class HttpStoreClient(
    private val loop: EventLoop,
    address: String,
    private val clock: NanoClock,
) : StoreClient {
    private val pool = ConnectionPool(loop, address)
    private var failing = false

    private val regainedActions = ArrayList<() -> Unit>()

    override var recoveredAt: Long? = null
        private set

    override fun onRecovery(action: () -> Unit) {
        regainedActions += action
    }

    override fun call(
        call: StoreCall,
        patience: Duration,
        onAnswer: (StoreResponse?) -> Unit,
    ): () -> Unit {
        val body = call.body?.toByteArray() ?: ByteArray(0)
        val headers = if (call.body == null) emptyList() else listOf("Content-Type" to "application/json")
        val waiting = Waiting(call, onAnswer)
        waiting.outbound = pool.send(OutboundRequest(call.method, call.path, headers, body), waiting)
        waiting.timer = loop.schedule(waiting::expired, patience.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        if (waiting.settled) waiting.timer?.cancel(false)
        return waiting::giveUp
    }

    /** Notes whether the store served; true if it does so again. */
    private fun note(reached: Boolean): Boolean {
        if (reached == !failing) return false
        failing = !reached
        if (reached) recoveredAt = clock.nanos()
        val event = if (reached) LogEvent.STORE_REGAINED else LogEvent.STORE_LOST
        event.log(logger)
        return reached
    }

    private inner class Waiting(
        private val call: StoreCall,
        private val onAnswer: (StoreResponse?) -> Unit,
    ) : OutboundListener {
        var outbound: OutboundCall? = null
        var timer: java.util.concurrent.Future<*>? = null
        var settled = false
            private set
        private var status = 0
        private val body = ByteArrayOutputStream()

        override fun head(
            status: Int,
            headers: HttpHeaders,
        ): HeadAction {
            this.status = status
            return HeadAction.TAKE
        }

        override fun content(bytes: ByteBuf) {
            bytes.readBytes(body, bytes.readableBytes())
        }

        override fun end() {
            // A store that turns calls away does not serve, whatever the reason.
            if (status == TOO_MANY || status >= FIRST_SERVER_ERROR) {
                LogEvent.STORE_CALL_FAILED.log(logger) { "call=${call.method} path=${call.path} status=$status" }
                note(reached = false)
                settle(null)
            } else {
                val regained = note(reached = true)
                settle(StoreResponse(status, body.toString(Charsets.UTF_8)))
                if (regained) regainedActions.forEach { it() }
            }
        }

        override fun broken(
            sent: Boolean,
            reason: String,
        ) {
            LogEvent.STORE_CALL_FAILED.log(logger) { "call=${call.method} path=${call.path} sent=$sent reason=$reason" }
            note(reached = false)
            settle(null)
        }

        fun expired() {
            if (settled) return
            outbound?.cancel()
            broken(sent = true, reason = "no answer in time")
        }

        fun giveUp() {
            if (settled) return
            settled = true
            timer?.cancel(false)
            outbound?.cancel()
        }

        private fun settle(answer: StoreResponse?) {
            if (settled) return
            settled = true
            timer?.cancel(false)
            onAnswer(answer)
        }
    }

    private companion object {
        const val TOO_MANY = 429
        const val FIRST_SERVER_ERROR = 500
    }
}
