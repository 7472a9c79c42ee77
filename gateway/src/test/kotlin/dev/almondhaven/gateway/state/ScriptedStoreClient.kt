package dev.almondhaven.gateway.state

import dev.almondhaven.platform.StoreCall
import kotlin.time.Duration

/** A call that a [ScriptedStoreClient] has received; the test responds to it. */
internal class PendingCall(
    val path: String,
    val timeout: Duration,
    val onResponse: (StoreResponse?) -> Unit,
) {
    var isCancelled = false
}

/** A store client whose responses come from the test. */
internal class ScriptedStoreClient : StoreClient {
    val calls = ArrayList<PendingCall>()
    private val recoveryActions = ArrayList<() -> Unit>()
    override val recoveredAt: Long? = null
    override var isReachable = true

    /** Whether the next call fails before it is sent. */
    var isNextCallFailing = false
    override val callCounts = StoreCallCounts()

    override fun call(
        call: StoreCall,
        timeout: Duration,
        onResponse: (StoreResponse?) -> Unit,
    ): () -> Unit {
        if (isNextCallFailing) {
            isNextCallFailing = false
            throw OutOfMemoryError("simulated")
        }
        callCounts.count(call)
        val pending = PendingCall(call.path, timeout, onResponse).also { calls += it }
        return { pending.isCancelled = true }
    }

    override fun onRecovery(action: () -> Unit) {
        recoveryActions += action
    }

    fun recover(): Unit = recoveryActions.forEach { it() }
}
