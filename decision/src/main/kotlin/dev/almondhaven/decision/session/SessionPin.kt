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
 * Pins a session to a model version.
 *
 * @property issuedAt epoch milliseconds at which the session began, or its token was last renewed.
 * @property moves how many times the session has moved off a withdrawn version.
 */
@Serializable
public data class SessionPin(
    public val key: SessionKey,
    public val version: ModelVersionId,
    public val issuedAt: Long,
    public val moves: Int = 0,
) {
    /** The pin after a move from the withdrawn version to its [successor]. */
    public fun movedTo(successor: ModelVersionId): SessionPin = copy(version = successor, moves = moves + 1)

    /**
     * Resolves two pins of one session to the same one on every router: the earlier issued, then the one with more
     * moves.
     */
    public fun merge(other: SessionPin): SessionPin = minOf(this, other, MERGE_ORDER)
}

private val MERGE_ORDER: Comparator<SessionPin> =
    compareBy({ it.issuedAt }, { -it.moves }, { it.version.toString() })
