package dev.almondhaven.traffic

import dev.almondhaven.model.OrganisationId

/**
 * The organisation that owns an API key.
 *
 * @property priority overrides the priority of the route, 0 is the most urgent; null keeps the priority of the route.
 */
public data class KeyOwner(
    public val organisation: OrganisationId,
    public val priority: Int?,
)
