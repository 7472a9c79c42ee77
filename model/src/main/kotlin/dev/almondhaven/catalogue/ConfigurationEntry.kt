package dev.almondhaven.catalogue

import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.NoteId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One accepted act of an operator; the total order of entries is the configuration's history. */
@Serializable
public sealed interface ConfigurationEntry {
    /** Identifies the act, so that a repeated submission is recognised. */
    public val id: NoteId

    /** Why the operator did it. */
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
     * A failure domain was brought back.
     *
     * @property at epoch milliseconds from which its load ramps up; publishing fills it in.
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
