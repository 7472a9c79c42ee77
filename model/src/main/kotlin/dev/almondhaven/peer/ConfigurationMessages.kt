package dev.almondhaven.peer

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.model.Generation
import kotlinx.serialization.Serializable

/** Sends the catalogue of an accepted configuration; the receiver applies it if it is newer than its own. */
@Serializable
public data class ConfigurationPush(
    public val catalogue: Catalogue,
)

/**
 * Answer to a [ConfigurationPush].
 *
 * @property generation generation in force on the router after the push.
 * @property taken whether the receiver applied the pushed catalogue.
 */
@Serializable
public data class ConfigurationHeld(
    public val generation: Generation,
    public val taken: Boolean = false,
)

/** Asks a router for its catalogue if it is newer than [newerThan]. */
@Serializable
public data class ConfigurationRequest(
    public val newerThan: Generation,
)

/** Answer to a [ConfigurationRequest]; [catalogue] is null when the router holds nothing newer. */
@Serializable
public data class ConfigurationAnswer(
    public val catalogue: Catalogue? = null,
)
