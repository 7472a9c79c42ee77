package dev.almondhaven.store

import dev.almondhaven.catalogue.CatalogueChange
import dev.almondhaven.model.Generation
import dev.almondhaven.model.NoteId
import dev.almondhaven.settings.Problem

/** Why an entry was not accepted, or why nobody can say yet whether it was. */
public sealed interface PublishError {
    /** The entry contradicts the catalogue in force. It was not published. */
    public data class Invalid(
        public val problems: List<Problem>,
    ) : PublishError

    /** Another entry was accepted since [expected] was read, with these [changes]. This one was not published. */
    public data class Conflict(
        public val expected: Generation,
        public val found: Generation,
        public val changes: List<CatalogueChange>,
    ) : PublishError

    /** [id] already names another entry, accepted as [generation]. This one was not published. */
    public data class IdReused(
        public val id: NoteId,
        public val generation: Generation,
    ) : PublishError

    /** The configuration would have [bytes] bytes, more than the platform holds. It was not published. */
    public data class TooLarge(
        public val bytes: Int,
    ) : PublishError

    /** The platform could not be reached before anything was written. It was not published. */
    public data class Platform(
        public val error: PlatformError,
    ) : PublishError

    /**
     * A write got no answer and the platform gave none since: the entry may be accepted, now or later. Publishing the
     * same id again settles it and never publishes twice.
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
