package dev.almondhaven.decision.session

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.almondhaven.model.OrganisationId
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.security.MessageDigest
import java.util.Base64
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Why a session token is worth nothing. */
public enum class SessionTokenError(
    public val detail: String,
) {
    MALFORMED("the session token is damaged"),
    UNKNOWN_KEY("the session token is signed with a key that this router doesn't hold"),
    FORGED("the session token's signature doesn't match"),
    EXPIRED("the session token is too old"),
    OTHER_ORGANISATION("the session token belongs to another organisation"),
}

/**
 * A verified token.
 *
 * @property needsRenewal whether the token should be replaced: its key is no longer the signing one, or it is old.
 */
public data class VerifiedToken(
    public val pin: SessionPin,
    public val needsRenewal: Boolean,
)

/**
 * Signs and verifies session tokens, `v1.KEY.PAYLOAD.SIGNATURE`. Every key verifies and the key [signWith] signs, so
 * that a new key is first added everywhere, then signs, and an old one is removed once its tokens have expired.
 */
public class SessionTokens(
    keys: List<SessionSigningKey>,
    signWith: String,
    private val maximumAge: Duration,
) {
    private val keysById = keys.associateBy { it.id }
    private val signingKey = requireNotNull(keysById[signWith]) { "no key '$signWith' among ${keysById.keys}" }

    /** The token that carries [pin]. */
    public fun issue(pin: SessionPin): String {
        val payload = encoder.encodeToString(json.encodeToString(SessionPin.serializer(), pin).toByteArray())
        val signed = "$FORMAT.${signingKey.id}.$payload"
        return "$signed.${encoder.encodeToString(signingKey.sign(signed))}"
    }

    /** The pin in [token] if it is genuine, of [organisation] and not too old at [now] (epoch milliseconds). */
    public fun verify(
        token: String,
        organisation: OrganisationId,
        now: Long,
    ): Either<SessionTokenError, VerifiedToken> {
        val parts = token.split('.')
        if (parts.size != PARTS || parts[0] != FORMAT) return SessionTokenError.MALFORMED.left()
        val key = keysById[parts[1]] ?: return SessionTokenError.UNKNOWN_KEY.left()
        val signature = decode(parts[3]) ?: return SessionTokenError.MALFORMED.left()
        val expected = key.sign(token.substringBeforeLast('.'))
        if (!MessageDigest.isEqual(expected, signature)) return SessionTokenError.FORGED.left()
        return pinOf(parts[2]).flatMap { check(it, key, organisation, now) }
    }

    private fun check(
        pin: SessionPin,
        key: SessionSigningKey,
        organisation: OrganisationId,
        now: Long,
    ): Either<SessionTokenError, VerifiedToken> {
        val age = (now - pin.issuedAt).milliseconds
        return when {
            pin.key.organisation != organisation -> SessionTokenError.OTHER_ORGANISATION.left()
            age > maximumAge -> SessionTokenError.EXPIRED.left()
            else -> VerifiedToken(pin, needsRenewal = key !== signingKey || age > maximumAge / 2).right()
        }
    }

    private fun pinOf(payload: String): Either<SessionTokenError, SessionPin> {
        val bytes = decode(payload) ?: return SessionTokenError.MALFORMED.left()
        return try {
            json.decodeFromString(SessionPin.serializer(), String(bytes)).right()
        } catch (_: SerializationException) {
            SessionTokenError.MALFORMED.left()
        }
    }

    private fun decode(text: String): ByteArray? =
        try {
            decoder.decode(text)
        } catch (_: IllegalArgumentException) {
            null
        }

    private companion object {
        const val FORMAT = "v1"
        const val PARTS = 4
        val json = Json { ignoreUnknownKeys = true }
        val encoder: Base64.Encoder = Base64.getUrlEncoder().withoutPadding()
        val decoder: Base64.Decoder = Base64.getUrlDecoder()
    }
}
