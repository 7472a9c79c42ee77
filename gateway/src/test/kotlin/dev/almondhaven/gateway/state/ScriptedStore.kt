package dev.almondhaven.gateway.state

import dev.almondhaven.platform.StoreCall
import kotlin.time.Duration

/** A call that a [ScriptedStore] has got; the test answers it. */
internal class WaitingCall(
    val path: String,
    val patience: Duration,
    val onAnswer: (StoreAnswer?) -> Unit,
) {
    var givenUp = false
}

/** A store that answers when the test says so. */
internal class ScriptedStore : Store {
    val calls = ArrayList<WaitingCall>()
    private val actions = ArrayList<() -> Unit>()
    override val returnedAt: Long? = null

    override fun call(
        call: StoreCall,
        patience: Duration,
        onAnswer: (StoreAnswer?) -> Unit,
    ): () -> Unit {
        val waiting = WaitingCall(call.path, patience, onAnswer).also { calls += it }
        return { waiting.givenUp = true }
    }

    override fun whenRegained(action: () -> Unit) {
        actions += action
    }

    fun regained(): Unit = actions.forEach { it() }
}
