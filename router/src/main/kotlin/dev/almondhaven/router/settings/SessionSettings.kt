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
 * @property secret at least 32 characters.
 */
@Serializable
public data class SessionKeySetting(
    public val id: String,
    public val secret: String,
) {
    override fun toString(): String = "SessionKeySetting(id=$id)"
}

/**
 * How sessions keep their version.
 *
 * @property keys secrets that verify session tokens; without any, no tokens are issued or accepted.
 * @property signWith id of the key that signs new tokens; the first key when empty.
 * @property tokenMaximumAge how long a token is accepted; one in its second half is renewed.
 * @property directoryEntries sessions known by their id only that this process remembers.
 * @property directoryAge how long such a session is remembered after its last request.
 * @property directoryTimeout longest wait for the two holders of such a session.
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
    /** Signs and verifies with these keys, or null when there are none. */
    internal fun tokens(): SessionTokens? {
        val first = keys.firstOrNull() ?: return null
        val signingKeys = keys.map { SessionSigningKey(it.id, it.secret.toByteArray()) }
        return SessionTokens(signingKeys, signWith.ifEmpty { first.id }, tokenMaximumAge)
    }

    /** Everything that is wrong with the values themselves. */
    internal fun problems(): List<Problem> =
        buildList {
            keys.forEachIndexed { index, key -> addAll(problems("sessions.keys[$index]", key)) }
            val ids = keys.map { it.id }
            if (ids.size != ids.toSet().size) add(Problem("sessions.keys", "$ids", "ids that differ"))
            if (signWith.isNotEmpty() && signWith !in ids) add(Problem("sessions.signWith", signWith, "one of $ids"))
            if (directoryEntries <= 0) add(Problem("sessions.directoryEntries", "$directoryEntries", "1 or more"))
            addAll(RouterSettings.positive("sessions.tokenMaximumAge", tokenMaximumAge))
            addAll(RouterSettings.positive("sessions.directoryAge", directoryAge))
            addAll(RouterSettings.positive("sessions.directoryTimeout", directoryTimeout))
        }

    private fun problems(
        path: String,
        key: SessionKeySetting,
    ): List<Problem> =
        buildList {
            val bytes = key.secret.toByteArray().size
            val minimum = SessionSigningKey.MINIMUM_SECRET_BYTES
            if (!KEY_ID.matches(key.id)) add(Problem("$path.id", key.id, "letters, digits and dashes"))
            if (bytes < minimum) add(Problem("$path.secret", "$bytes bytes", "$minimum bytes or more"))
        }

    private companion object {
        const val DEFAULT_DIRECTORY_ENTRIES = 100_000L
        val KEY_ID = Regex("[A-Za-z0-9-]+")
    }
}
