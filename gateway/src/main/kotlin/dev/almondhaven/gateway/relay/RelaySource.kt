package dev.almondhaven.gateway.relay

import dev.almondhaven.gateway.state.KindHistory
import kotlin.time.Duration

/** What a router that reads the store passes on to others. */
internal interface RelaySource {
    val histories: List<KindHistory>

    /** Whether this router reads the store itself and has listed all kinds; it has nothing to pass on otherwise. */
    val isReader: Boolean

    /** Time since the configuration was last confirmed with the store. */
    val confirmationAge: Duration

    /** Time since the store recovered from a failure; null if it has not failed. */
    val sinceRecovery: Duration?
}
