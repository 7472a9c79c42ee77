package dev.almondhaven.router.settings

import dev.almondhaven.decision.session.SessionSigningKey
import dev.almondhaven.decision.session.SessionTokens
import dev.almondhaven.settings.DurationText
import dev.almondhaven.settings.Problem
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds

/**
 * A secret that signs session tokens.
 *
 * @property secret at least 32 bytes in UTF-8.
 */
@Serializable
public data class SessionKeySetting(
    public val id: String,
    public val secret: String,
) {
    override fun toString(): String = "SessionKeySetting(id=$id)"
}

/**
 * Settings of sessions, which keep a conversation on one model version.
 *
 * @property keys keys that verify session tokens; if empty, no tokens are issued or accepted.
 * @property signWith id of the key that signs new tokens; if empty, the first key signs.
 * @property tokenMaximumAge validity period of a token; a token past half of its period is renewed.
 * @property directoryEntries maximum number of sessions without a token, identified by their id, that this process
 * remembers.
 * @property directoryAge time for which such a session is remembered after its last request.
 * @property directoryTimeout timeout for responses of the two routers that hold such a session.
 */
@Serializable
public data class SessionSettings(
    public val keys: List<SessionKeySetting> = emptyList(),
    public val signWith: String = "",
    @Serializable(with = DurationText::class) public val tokenMaximumAge: Duration = 30.days,
    public val directoryEntries: Long = DEFAULT_DIRECTORY_ENTRIES,
    @Serializable(with = DurationText::class) public val directoryAge: Duration = 12.hours,
    @Serializable(with = DurationText::class) public val directoryTimeout: Duration = 100.milliseconds,
) {
    /** Creates the signer and verifier of session tokens; null if there are no keys. */
    internal fun createTokensOrNull(): SessionTokens? {
        val first = keys.firstOrNull() ?: return null
        val signingKeys = keys.map { SessionSigningKey(it.id, it.secret.toByteArray()) }
        return SessionTokens(signingKeys, signWith.ifEmpty { first.id }, tokenMaximumAge)
    }

    /** Validates the settings and returns every problem found. */
    internal fun validate(): List<Problem> =
        buildList {
            keys.forEachIndexed { index, key -> addAll(validateKey("sessions.keys[$index]", key)) }
            val ids = keys.map { it.id }
            if (ids.size != ids.toSet().size) add(Problem("sessions.keys", "$ids", "ids that differ"))
            if (signWith.isNotEmpty() && signWith !in ids) add(Problem("sessions.signWith", signWith, "one of $ids"))
            if (directoryEntries <= 0) add(Problem("sessions.directoryEntries", "$directoryEntries", "1 or more"))
            addAll(RouterSettings.validatePositive("sessions.tokenMaximumAge", tokenMaximumAge))
            addAll(RouterSettings.validatePositive("sessions.directoryAge", directoryAge))
            addAll(RouterSettings.validatePositive("sessions.directoryTimeout", directoryTimeout))
        }

    private fun validateKey(
        path: String,
        key: SessionKeySetting,
    ): List<Problem> =
        buildList {
            val bytes = key.secret.toByteArray().size
            val minimum = SessionSigningKey.MINIMUM_SECRET_BYTES
            if (!KEY_ID_PATTERN.matches(key.id)) add(Problem("$path.id", key.id, "letters, digits and dashes"))
            if (bytes < minimum) add(Problem("$path.secret", "$bytes bytes", "$minimum bytes or more"))
        }

    private companion object {
        const val DEFAULT_DIRECTORY_ENTRIES = 100_000L
        val KEY_ID_PATTERN = Regex("[A-Za-z0-9-]+")
    }
}
