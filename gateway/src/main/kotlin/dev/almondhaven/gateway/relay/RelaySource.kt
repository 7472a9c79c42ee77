package dev.almondhaven.gateway.relay

import dev.almondhaven.gateway.state.KindHistory
import kotlin.time.Duration

/** What a router that reads the store passes on to others. */
internal interface RelaySource {
    val histories: List<KindHistory>

    /**
     * Whether this router reads the store itself, has listed all kinds and has a recent proof of its configuration; others
     * should not rely on it otherwise.
     */
    val isReader: Boolean

    /** Time since the configuration was last confirmed with the store. */
    val confirmationAge: Duration

    /** Time since the store recovered from a failure; null if it has not failed. */
    val sinceRecovery: Duration?
}
