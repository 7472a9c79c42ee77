package dev.almondhaven.catalogue

import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.NoteId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One accepted operator action; the totally ordered entries are the history of the configuration. */
@Serializable
public sealed interface ConfigurationEntry {
    /** Identifies the action, so that a repeated submission is detected. */
    public val id: NoteId

    /** Why the operator took the action. */
    public val reason: String

    /** A release note was published. */
    @Serializable
    @SerialName("note_published")
    public data class NotePublished(
        public val note: ReleaseNote,
    ) : ConfigurationEntry {
        override val id: NoteId get() = note.id
        override val reason: String get() = note.reason
    }

    /** A failure domain was taken out of service. */
    @Serializable
    @SerialName("domain_taken_out")
    public data class DomainTakenOut(
        override val id: NoteId,
        override val reason: String,
        public val domain: FailureDomainId,
    ) : ConfigurationEntry

    /**
     * A failure domain was returned to service.
     *
     * @property at epoch milliseconds from which its load ramps up; set when the entry is published.
     */
    @Serializable
    @SerialName("domain_returned")
    public data class DomainReturned(
        override val id: NoteId,
        override val reason: String,
        public val domain: FailureDomainId,
        public val at: Long = 0,
    ) : ConfigurationEntry
}
