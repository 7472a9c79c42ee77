package dev.almondhaven.gateway.state

import dev.almondhaven.platform.StoreCall
import kotlin.time.Duration

/** Client of the platform's store. */
internal interface StoreClient {
    /** Whether the latest call reached the store; true before the first one. */
    val isReachable: Boolean

    /** The calls that were made. */
    val callCounts: StoreCallCounts

    /** Monotonic time in nanoseconds at which the store last recovered from a failure; null if it has never failed. */
    val recoveredAt: Long?

    /**
     * Calls [onResponse] once: with the response, or with null if the call failed or took longer than [timeout]. The
     * returned action cancels the call; [onResponse] is not called after that.
     */
    fun call(
        call: StoreCall,
        timeout: Duration,
        onResponse: (StoreResponse?) -> Unit,
    ): () -> Unit

    /** Runs [action] each time the store recovers from a failure. */
    fun onRecovery(action: () -> Unit)
}
