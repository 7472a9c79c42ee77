package dev.almondhaven.router.session

import dev.almondhaven.decision.session.SessionKey
import dev.almondhaven.decision.session.SessionPin
import kotlinx.serialization.Serializable

/** Asks a holder for a session's pin. */
@Serializable
internal data class SessionLookupRequest(
    val key: SessionKey,
)

/**
 * Tells a holder a session's pin.
 *
 * @property replaces the pin that this one replaces because its version is withdrawn.
 */
@Serializable
internal data class SessionPinUpdate(
    val pin: SessionPin,
    val replaces: SessionPin? = null,
)

/** A holder's answer: the pin that it holds now. */
@Serializable
internal data class SessionPinResponse(
    val pin: SessionPin? = null,
)
