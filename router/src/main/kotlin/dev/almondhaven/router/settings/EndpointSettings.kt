package dev.almondhaven.router.settings

import dev.almondhaven.settings.DurationText
import dev.almondhaven.settings.Problem
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How the router treats endpoints and their connections.
 *
 * @property connectTimeout longest wait for a new connection.
 * @property pingInterval time without a byte after which an HTTP/2 PING is sent; as long again without an answer closes
 * the connection.
 * @property firstByteDeadline longest silence before a streamed answer's first token.
 * @property tokenDeadline longest silence between two tokens of a streamed answer.
 * @property callerStall longest time that a caller may take nothing of its streamed answer.
 * @property statusInterval time between two polls of an engine's load report.
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
    /** Everything that is wrong with the values. */
    internal fun problems(): List<Problem> =
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
