package dev.almondhaven.store

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.model.Generation
import dev.almondhaven.model.NoteId
import kotlinx.serialization.Serializable

/**
 * The object at `configuration/head`: the compacted snapshot in force and what the next publisher has to know.
 *
 * @property recentEntries ids of the newest entries, newest first; settles writes whose answer was lost.
 * @property latest the newest entry in full, so that the next publisher can write its object if this one's crashed.
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

/** A head together with the object version that its successor has to name. */
public data class VersionedHead(
    public val head: ConfigurationHead,
    public val version: ObjectVersion,
)
