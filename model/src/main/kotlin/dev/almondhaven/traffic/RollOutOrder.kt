package dev.almondhaven.traffic

import dev.almondhaven.model.ServiceId
import kotlin.time.Duration

/**
 * The operator's order to move a service to the endpoints of another version.
 *
 * @property target the version to move to.
 * @property within time the move may take.
 * @property revision of the order in the platform's store, for conditional updates.
 * @property creationRevision revision at which the order came into being; another one is another order.
 */
public data class RollOutOrder(
    public val service: ServiceId,
    public val target: String,
    public val within: Duration,
    public val state: RollOutState,
    public val revision: Long,
    public val creationRevision: Long,
)
