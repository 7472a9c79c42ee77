package dev.almondhaven.store

import dev.almondhaven.catalogue.CatalogueChange
import dev.almondhaven.model.Generation
import dev.almondhaven.model.NoteId
import dev.almondhaven.settings.Problem

/** Why an entry was not accepted, or why it is unknown whether it was. */
public sealed interface PublishError {
    /** The entry is inconsistent with the catalogue in force. It was not published. */
    public data class Invalid(
        public val problems: List<Problem>,
    ) : PublishError

    /** Other entries, which made [changes], were accepted since [expected] was read. This one was not published. */
    public data class Conflict(
        public val expected: Generation,
        public val found: Generation,
        public val changes: List<CatalogueChange>,
    ) : PublishError

    /** [id] belongs to a different entry, accepted as [generation]. This one was not published. */
    public data class IdReused(
        public val id: NoteId,
        public val generation: Generation,
    ) : PublishError

    /** The configuration would have [bytes] bytes, over the platform's object limit. The entry was not published. */
    public data class TooLarge(
        public val bytes: Int,
    ) : PublishError

    /** The platform failed before anything was written. The entry was not published. */
    public data class Platform(
        public val error: PlatformError,
    ) : PublishError

    /**
     * A write got no response and no later attempt could determine its outcome: the entry may be accepted, now or
     * later. Publishing the same id again resolves the outcome and never publishes twice.
     */
    public data class Unsettled(
        public val id: NoteId,
        public val error: PlatformError,
    ) : PublishError
}

/**
 * An accepted entry.
 *
 * @property wasAlreadyAccepted whether it had been accepted before this call.
 */
public data class Accepted(
    public val generation: Generation,
    public val wasAlreadyAccepted: Boolean = false,
)
