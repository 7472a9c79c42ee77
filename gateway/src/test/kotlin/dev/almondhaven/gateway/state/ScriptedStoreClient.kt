package dev.almondhaven.gateway.state

import dev.almondhaven.platform.StoreCall
import kotlin.time.Duration

/** A call that a [ScriptedStoreClient] has got; the test answers it. */
internal class PendingCall(
    val path: String,
    val patience: Duration,
    val onAnswer: (StoreResponse?) -> Unit,
) {
    var givenUp = false
}

/** A store that answers when the test says so. */
internal class ScriptedStoreClient : StoreClient {
    val calls = ArrayList<PendingCall>()
    private val actions = ArrayList<() -> Unit>()
    override val recoveredAt: Long? = null

    override fun call(
        call: StoreCall,
        patience: Duration,
        onAnswer: (StoreResponse?) -> Unit,
    ): () -> Unit {
        val waiting = PendingCall(call.path, patience, onAnswer).also { calls += it }
        return { waiting.givenUp = true }
    }

    override fun onRecovery(action: () -> Unit) {
        actions += action
    }

    fun regained(): Unit = actions.forEach { it() }
}
