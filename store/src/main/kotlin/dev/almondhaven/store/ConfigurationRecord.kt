package dev.almondhaven.store

import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.model.Generation
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * An accepted entry as it is kept for ever at `configuration/entries/{id}`: the audit trail.
 *
 * @property author who published it.
 * @property acceptedAt epoch milliseconds by the operator's clock.
 * @property host host from which it was published.
 * @property submitted digest of the entry as the operator submitted it, before times were filled in.
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

/** Who publishes an entry, when and from where; goes into the audit trail. */
public data class Publisher(
    public val author: String,
    public val acceptedAt: Long,
    public val host: String,
)
