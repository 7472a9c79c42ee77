package dev.almondhaven.router.settings

import dev.almondhaven.settings.DurationText
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * How non-idempotent calls are claimed.
 *
 * @property writeInterval least time between two writes of one shard.
 * @property dispatchBound how long after its arrival a call may be dispatched at the latest.
 * @property runLimit how long a dispatched call may run, also when its caller has left.
 * @property relayTimeout how long a shard's owner has to settle an operation before the router writes it itself.
 */
@Serializable
public data class ClaimSettings(
    @Serializable(with = DurationText::class) public val writeInterval: Duration = 100.milliseconds,
    @Serializable(with = DurationText::class) public val dispatchBound: Duration = 30.seconds,
    @Serializable(with = DurationText::class) public val runLimit: Duration = 5.minutes,
    @Serializable(with = DurationText::class) public val relayTimeout: Duration = 1.seconds,
)
