package dev.almondhaven.router.settings

import dev.almondhaven.settings.DurationText
import dev.almondhaven.settings.Problem
import kotlinx.serialization.Serializable
import java.net.URI
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of model and version selection, and of roll-outs.
 *
 * @property ratingsAddress base address of the rating service; null when there is none.
 * @property ratingsInterval interval between polls of the rating service.
 * @property exploredRequestShare maximum share of requests that explore a version with little quality evidence.
 * @property exploredCostShare maximum share of the cost that exploring requests may add.
 * @property rollOutFalseAlarm upper bound of the probability that the roll-out of a good version is ever halted.
 */
@Serializable
public data class ChoiceSettings(
    public val ratingsAddress: String? = null,
    @Serializable(with = DurationText::class) public val ratingsInterval: Duration = 5.seconds,
    public val exploredRequestShare: Double = DEFAULT_EXPLORED_SHARE,
    public val exploredCostShare: Double = DEFAULT_EXPLORED_SHARE,
    public val rollOutFalseAlarm: Double = DEFAULT_ROLL_OUT_FALSE_ALARM,
) {
    /** Validates the settings and returns every problem found. */
    internal fun validate(): List<Problem> =
        buildList {
            val scheme = runCatching { ratingsAddress?.let { URI(it).scheme } ?: "http" }.getOrNull()
            if (scheme != "http" && scheme != "https") {
                add(Problem("choice.ratingsAddress", "$ratingsAddress", "an http or https address"))
            }
            if (!ratingsInterval.isPositive()) {
                add(Problem("choice.ratingsInterval", "$ratingsInterval", "more than 0s"))
            }
            addAll(validateShare("choice.exploredRequestShare", exploredRequestShare))
            addAll(validateShare("choice.exploredCostShare", exploredCostShare))
            if (rollOutFalseAlarm <= 0.0 || rollOutFalseAlarm >= 1.0) {
                add(Problem("choice.rollOutFalseAlarm", "$rollOutFalseAlarm", "more than 0 and less than 1"))
            }
        }

    private fun validateShare(
        path: String,
        value: Double,
    ): List<Problem> = if (value in 0.0..1.0) emptyList() else listOf(Problem(path, "$value", "from 0 to 1"))

    private companion object {
        const val DEFAULT_EXPLORED_SHARE = 0.02
        const val DEFAULT_ROLL_OUT_FALSE_ALARM = 0.01
    }
}
