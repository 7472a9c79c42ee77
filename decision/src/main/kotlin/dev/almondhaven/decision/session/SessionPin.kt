package dev.almondhaven.decision.session

import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.SessionId
import kotlinx.serialization.Serializable

/** A session of one organisation; two organisations may use the same session id. */
@Serializable
public data class SessionKey(
    public val organisation: OrganisationId,
    public val session: SessionId,
) {
    override fun toString(): String = "$organisation/$session"
}

/**
 * The version that a session runs on.
 *
 * @property issuedAt epoch milliseconds at which the session got this version.
 */
@Serializable
public data class SessionPin(
    public val key: SessionKey,
    public val version: ModelVersionId,
    public val issuedAt: Long,
) {
    /** Of two pins of one session the one that every router keeps: the older, or else the lesser name. */
    public fun olderOf(other: SessionPin): SessionPin = minOf(this, other, OLDEST_FIRST)
}

private val OLDEST_FIRST: Comparator<SessionPin> = compareBy({ it.issuedAt }, { it.version.toString() })
