package dev.almondhaven.store

import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.model.Generation
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * An accepted entry, stored permanently at `configuration/entries/{id}`. These records form the audit trail.
 *
 * @property author user who published the entry.
 * @property acceptedAt epoch milliseconds by the clock of the operator's machine.
 * @property host host from which the entry was published.
 * @property submitted digest of the entry as submitted, before start times were filled in; empty if unknown.
 * @property previousHash hash of the record before this one; empty for the first.
 * @property hash SHA-256 over the canonical JSON of every other field.
 */
@Serializable
public data class ConfigurationRecord(
    public val generation: Generation,
    public val entry: ConfigurationEntry,
    public val author: String,
    public val acceptedAt: Long,
    @SerialName("from") public val host: String,
    public val submitted: String = "",
    public val previousHash: String = "",
    public val hash: String = "",
)

/** Who publishes an entry, when and from which host; recorded in the audit trail. */
public data class Publisher(
    public val author: String,
    public val acceptedAt: Long,
    public val host: String,
)
