package dev.almondhaven.store

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.model.Generation
import dev.almondhaven.model.NoteId
import kotlinx.serialization.Serializable

/**
 * The object at `configuration/head`: the compacted snapshot in force and what the next publisher needs.
 *
 * @property recentEntries ids of the newest entries, newest first. A publisher that finds its id here knows that its
 *   entry was accepted, even if the response to its write was lost.
 * @property latest the newest entry in full, so that the next publisher can write its object if the publisher of that
 *   entry crashed before doing so.
 */
@Serializable
public data class ConfigurationHead(
    public val catalogue: Catalogue = Catalogue.EMPTY,
    public val recentEntries: List<NoteId> = emptyList(),
    public val latest: ConfigurationRecord? = null,
) {
    /** The generation in force. */
    public val generation: Generation get() = catalogue.generation
}

/** A head together with its object version, which the write of the next head uses for compare-and-set. */
public data class VersionedHead(
    public val head: ConfigurationHead,
    public val version: ObjectVersion,
)
