package dev.almondhaven.decision.distribution

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.model.Generation

/** Holds the catalogue in force. Its generation only rises, whoever offers what. */
public interface ConfigurationHolder {
    /** The catalogue in force. */
    public val catalogue: Catalogue

    /** Its generation. */
    public val generation: Generation get() = catalogue.generation

    /** Takes [catalogue] if it is newer than the one held; returns whether it was. */
    public fun offer(catalogue: Catalogue): Boolean
}
