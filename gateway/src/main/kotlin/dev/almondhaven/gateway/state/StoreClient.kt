package dev.almondhaven.gateway.state

import dev.almondhaven.platform.StoreCall
import kotlin.time.Duration

/** The platform's store, as far as this router reaches it. */
internal interface StoreClient {
    /** Monotonic time at which the store last came back after it had failed; null if it never failed. */
    val recoveredAt: Long?

    /**
     * Calls [onAnswer] once: with the answer, or with null if none came within [patience]. The returned action gives the
     * call up; [onAnswer] is not called then.
     */
    fun call(
        call: StoreCall,
        patience: Duration,
        onAnswer: (StoreResponse?) -> Unit,
    ): () -> Unit

    /** Runs [action] each time the store serves this router again. */
    fun onRecovery(action: () -> Unit)
}
