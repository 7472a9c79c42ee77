package dev.almondhaven.gateway.state

import dev.almondhaven.gateway.duty.forEachIsolated
import dev.almondhaven.gateway.net.ConnectionPool
import dev.almondhaven.gateway.net.HttpClient
import dev.almondhaven.gateway.net.HttpResult
import dev.almondhaven.gateway.net.OutboundRequest
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.platform.StoreCall
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/**
 * Calls the platform's store over HTTP. A watch that gets no response doesn't count as a failure of the store: it may be
 * cut off while it waits, and its timeout tells of a moment long past. Must be used on the event loop only.
 */
internal class HttpStoreClient(
    loop: EventLoop,
    address: String,
    private val clock: NanoClock,
) : StoreClient {
    private val client = HttpClient(loop, ConnectionPool(loop, address))
    private var isFailing = false

    private val recoveryActions = ArrayList<() -> Unit>()
    override val isReachable: Boolean get() = !isFailing
    override val callCounts = StoreCallCounts()

    override var recoveredAt: Long? = null
        private set

    override fun onRecovery(action: () -> Unit) {
        recoveryActions += action
    }

    override fun call(
        call: StoreCall,
        timeout: Duration,
        onResponse: (StoreResponse?) -> Unit,
    ): () -> Unit {
        callCounts.count(call)
        val body = call.body?.toByteArray() ?: ByteArray(0)
        val headers = if (call.body == null) emptyList() else listOf("Content-Type" to "application/json")
        return client.send(OutboundRequest(call.method, call.path, headers, body), timeout) { result ->
            when (result) {
                is HttpResult.Response -> handleResponse(call, result, onResponse)
                is HttpResult.Failure if result.isTooLong -> handleTooLong(call, result, onResponse)
                is HttpResult.Failure -> handleFailure(call, result, onResponse)
            }
        }
    }

    private fun handleResponse(
        call: StoreCall,
        response: HttpResult.Response,
        onResponse: (StoreResponse?) -> Unit,
    ) {
        // A store that rejects calls counts as failing, whatever the reason.
        if (response.status == TOO_MANY_REQUESTS || response.status >= FIRST_SERVER_ERROR) {
            LogEvent.STORE_CALL_FAILED.log(logger) { "call=${call.method} path=${call.path} status=${response.status}" }
            recordReachability(reached = false)
            return onResponse(null)
        }
        val recovered = recordReachability(reached = true)
        onResponse(StoreResponse(response.status, response.body))
        if (recovered) recoveryActions.forEachIsolated("recovery of the store") { it() }
    }

    /** More has changed than one response may hold, so the objects have to be listed, page by page. */
    private fun handleTooLong(
        call: StoreCall,
        failure: HttpResult.Failure,
        onResponse: (StoreResponse?) -> Unit,
    ) {
        LogEvent.STORE_CALL_FAILED.log(logger) { "call=${call.method} path=${call.path} reason=${failure.reason}" }
        onResponse(StoreResponse(StoreCall.REVISION_EXPIRED, ""))
    }

    private fun handleFailure(
        call: StoreCall,
        failure: HttpResult.Failure,
        onResponse: (StoreResponse?) -> Unit,
    ) {
        LogEvent.STORE_CALL_FAILED.log(logger) {
            "call=${call.method} path=${call.path} sent=${failure.sent} reason=${failure.reason}"
        }
        if (!failure.sent || !call.isWatch) recordReachability(reached = false)
        onResponse(null)
    }

    /** Records whether the store could be reached; returns true if it has recovered from a failure. */
    private fun recordReachability(reached: Boolean): Boolean {
        if (reached == !isFailing) return false
        isFailing = !reached
        if (reached) recoveredAt = clock.nanos()
        val event = if (reached) LogEvent.STORE_REGAINED else LogEvent.STORE_LOST
        event.log(logger)
        return reached
    }

    private companion object {
        const val TOO_MANY_REQUESTS = 429
        const val FIRST_SERVER_ERROR = 500
    }
}
