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

/** Why a session token is rejected. */
public enum class SessionTokenError(
    public val detail: String,
) {
    MALFORMED("the session token is malformed"),
    UNKNOWN_KEY("the session token is signed with a key that this router doesn't hold"),
    FORGED("the session token's signature doesn't match"),
    EXPIRED("the session token has expired"),
    OTHER_ORGANISATION("the session token belongs to another organisation"),
}

/**
 * A verified token.
 *
 * @property needsRenewal whether the token should be replaced, because it wasn't signed with the current signing key or
 * has passed half of its maximum age.
 */
public data class VerifiedToken(
    public val pin: SessionPin,
    public val needsRenewal: Boolean,
)

/**
 * Signs and verifies session tokens of the form `v1.KEY.PAYLOAD.SIGNATURE`. All keys verify, but only the key
 * [signWith] signs. To rotate keys, the new key is first added to every router, then used to sign, and the old one is
 * removed once its tokens have expired.
 */
public class SessionTokens(
    keys: List<SessionSigningKey>,
    signWith: String,
    private val maximumAge: Duration,
) {
    private val keysById = keys.associateBy { it.id }
    private val signingKey = requireNotNull(keysById[signWith]) { "no key '$signWith' among ${keysById.keys}" }

    /** Returns a signed token that carries [pin]. */
    public fun issue(pin: SessionPin): String {
        val payload = encoder.encodeToString(json.encodeToString(SessionPin.serializer(), pin).toByteArray())
        val signed = "$FORMAT_VERSION.${signingKey.id}.$payload"
        return "$signed.${encoder.encodeToString(signingKey.sign(signed))}"
    }

    /**
     * Returns the pin in [token] if its signature and [organisation] match and it isn't expired at [now], epoch
     * milliseconds.
     */
    public fun verify(
        token: String,
        organisation: OrganisationId,
        now: Long,
    ): Either<SessionTokenError, VerifiedToken> {
        val parts = token.split('.')
        if (parts.size != PART_COUNT || parts[0] != FORMAT_VERSION) return SessionTokenError.MALFORMED.left()
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
        const val FORMAT_VERSION = "v1"
        const val PART_COUNT = 4
        val json = Json { ignoreUnknownKeys = true }
        val encoder: Base64.Encoder = Base64.getUrlEncoder().withoutPadding()
        val decoder: Base64.Decoder = Base64.getUrlDecoder()
    }
}
