package dev.almondhaven.gateway.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tells another router what this one knows of a roll-out.
 *
 * @property order revision at which the roll-out's order was created.
 * @property target the version to move to.
 * @property elapsedMillis time since the order that has certainly passed.
 * @property rejected whether the new version has been found bad.
 * @property asks whether the other router is asked for the same.
 */
@Serializable
internal data class RollOutStatement(
    @SerialName("s") val service: String,
    @SerialName("c") val order: Long,
    @SerialName("v") val target: String,
    @SerialName("e") val elapsedMillis: Long,
    @SerialName("x") val rejected: Boolean = false,
    @SerialName("q") val asks: Boolean = false,
) {
    /** The time since the order, or null if it is impossible. */
    fun elapsed(): Duration? = elapsedMillis.milliseconds.takeIf { it in Duration.ZERO..LONGEST_ROLL_OUT }

    private companion object {
        val LONGEST_ROLL_OUT = 30.days
    }
}
