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
 * @property issuedAt epoch milliseconds at which the session began, or its token was last renewed.
 * @property moves how often the session has moved off a withdrawn version.
 */
@Serializable
public data class SessionPin(
    public val key: SessionKey,
    public val version: ModelVersionId,
    public val issuedAt: Long,
    public val moves: Int = 0,
) {
    /** This session on [successor] of its withdrawn version. */
    public fun movedTo(successor: ModelVersionId): SessionPin = copy(version = successor, moves = moves + 1)

    /** Of two pins of one session the one that every router keeps: the older start, then the one that has moved on. */
    public fun merge(other: SessionPin): SessionPin = minOf(this, other, MOST_BINDING_FIRST)
}

private val MOST_BINDING_FIRST: Comparator<SessionPin> =
    compareBy({ it.issuedAt }, { -it.moves }, { it.version.toString() })
