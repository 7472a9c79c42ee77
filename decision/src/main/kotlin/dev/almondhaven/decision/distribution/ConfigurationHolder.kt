package dev.almondhaven.decision.distribution

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.model.Generation

/** Holds the catalogue in force. Its generation never decreases, whichever catalogues are offered. */
public interface ConfigurationHolder {
    /** The catalogue in force. */
    public val catalogue: Catalogue

    /** The generation of the catalogue in force. */
    public val generation: Generation get() = catalogue.generation

    /** Puts [catalogue] in force if it is newer than the current one; returns whether it is. */
    public fun offer(catalogue: Catalogue): Boolean
}
