package dev.almondhaven.router.settings

import dev.almondhaven.settings.DurationText
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of claims, which prevent a non-idempotent call from being dispatched twice.
 *
 * @property writeInterval minimum interval between writes of one shard.
 * @property dispatchBound time after its arrival within which a call must be dispatched.
 * @property runLimit longest time that a dispatched call may run, even if its caller has disconnected.
 * @property relayTimeout time that the owner of a shard has to settle an operation before the router writes it itself.
 */
@Serializable
public data class ClaimSettings(
    @Serializable(with = DurationText::class) public val writeInterval: Duration = 100.milliseconds,
    @Serializable(with = DurationText::class) public val dispatchBound: Duration = 30.seconds,
    @Serializable(with = DurationText::class) public val runLimit: Duration = 5.minutes,
    @Serializable(with = DurationText::class) public val relayTimeout: Duration = 1.seconds,
)
