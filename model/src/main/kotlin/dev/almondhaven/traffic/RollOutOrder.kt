package dev.almondhaven.traffic

import dev.almondhaven.model.ServiceId
import kotlin.time.Duration

/**
 * An operator's order to move a service to the endpoints of another version.
 *
 * @property target the version to move to.
 * @property within time limit of the roll-out.
 * @property revision of the order in the platform's store, for conditional updates.
 * @property creationRevision store revision at which the order was created; identifies the order.
 * @property storedAge time since the order when its state was last stored; zero if none is stored.
 */
public data class RollOutOrder(
    public val service: ServiceId,
    public val target: String,
    public val within: Duration,
    public val state: RollOutState,
    public val revision: Long,
    public val creationRevision: Long,
    public val storedAge: Duration = Duration.ZERO,
)
