package dev.almondhaven.router.settings

import dev.almondhaven.settings.DurationText
import dev.almondhaven.settings.Problem
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of endpoints and their connections.
 *
 * @property connectTimeout timeout for establishing a connection.
 * @property pingInterval time without received bytes after which an HTTP/2 PING is sent; if it isn't answered within
 * the same time, the connection is closed.
 * @property firstByteDeadline longest time to the first token of a streamed answer.
 * @property tokenDeadline longest time between two tokens of a streamed answer.
 * @property callerStall longest time that a caller may read nothing from its streamed answer.
 * @property statusInterval interval between polls of an engine's load report.
 */
@Serializable
public data class EndpointSettings(
    @Serializable(with = DurationText::class) public val connectTimeout: Duration = 1.seconds,
    @Serializable(with = DurationText::class) public val pingInterval: Duration = 2.seconds,
    @Serializable(with = DurationText::class) public val firstByteDeadline: Duration = 10.seconds,
    @Serializable(with = DurationText::class) public val tokenDeadline: Duration = 5.seconds,
    @Serializable(with = DurationText::class) public val callerStall: Duration = 15.seconds,
    @Serializable(with = DurationText::class) public val statusInterval: Duration = 500.milliseconds,
) {
    /** Validates the settings and returns every problem found. */
    internal fun validate(): List<Problem> =
        listOf(
            "connectTimeout" to connectTimeout,
            "pingInterval" to pingInterval,
            "firstByteDeadline" to firstByteDeadline,
            "tokenDeadline" to tokenDeadline,
            "callerStall" to callerStall,
            "statusInterval" to statusInterval,
        ).filterNot { (_, value) -> value.isPositive() }
            .map { (name, value) -> Problem("endpoints.$name", "$value", "more than 0s") }
}
