package dev.almondhaven.router.session

import dev.almondhaven.decision.session.SessionKey
import dev.almondhaven.decision.session.SessionPin
import kotlinx.serialization.Serializable

/** Asks a holder for the pin of a session. */
@Serializable
internal data class SessionLookupRequest(
    val key: SessionKey,
)

/**
 * Sends the pin of a session to a holder.
 *
 * @property replaces the pin that [pin] replaces because its version was withdrawn.
 */
@Serializable
internal data class SessionPinUpdate(
    val pin: SessionPin,
    val replaces: SessionPin? = null,
)

/** Response of a holder: the pin that it holds now, if any. */
@Serializable
internal data class SessionPinResponse(
    val pin: SessionPin? = null,
)
