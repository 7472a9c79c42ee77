package dev.almondhaven.traffic

import dev.almondhaven.model.OrganisationId

/**
 * The organisation that holds a key.
 *
 * @property priority goes before the priority of the route, 0 first; null where the route's holds.
 */
public data class KeyOwner(
    public val organisation: OrganisationId,
    public val priority: Int?,
)
