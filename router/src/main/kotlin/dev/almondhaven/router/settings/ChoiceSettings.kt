package dev.almondhaven.router.settings

import dev.almondhaven.settings.DurationText
import dev.almondhaven.settings.Problem
import kotlinx.serialization.Serializable
import java.net.URI
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How models and versions are chosen and tested.
 *
 * @property ratingsAddress base address of the rating service; null when there is none.
 * @property ratingsInterval time between two polls of the rating service.
 * @property exploredRequestShare largest part of the requests that try a less known version.
 * @property exploredCostShare largest part of the cost that such requests may add.
 * @property rollOutFalseAlarm bound on the probability that a good version's roll-out is ever stopped.
 */
@Serializable
public data class ChoiceSettings(
    public val ratingsAddress: String? = null,
    @Serializable(with = DurationText::class) public val ratingsInterval: Duration = 5.seconds,
    public val exploredRequestShare: Double = DEFAULT_EXPLORED_SHARE,
    public val exploredCostShare: Double = DEFAULT_EXPLORED_SHARE,
    public val rollOutFalseAlarm: Double = DEFAULT_ROLL_OUT_FALSE_ALARM,
) {
    /** Everything that is wrong with the values. */
    internal fun problems(): List<Problem> =
        buildList {
            val scheme = runCatching { ratingsAddress?.let { URI(it).scheme } ?: "http" }.getOrNull()
            if (scheme != "http" && scheme != "https") {
                add(Problem("choice.ratingsAddress", "$ratingsAddress", "an http or https address"))
            }
            if (!ratingsInterval.isPositive()) {
                add(Problem("choice.ratingsInterval", "$ratingsInterval", "more than 0s"))
            }
            addAll(share("choice.exploredRequestShare", exploredRequestShare))
            addAll(share("choice.exploredCostShare", exploredCostShare))
            if (rollOutFalseAlarm <= 0.0 || rollOutFalseAlarm >= 1.0) {
                add(Problem("choice.rollOutFalseAlarm", "$rollOutFalseAlarm", "more than 0 and less than 1"))
            }
        }

    private fun share(
        path: String,
        value: Double,
    ): List<Problem> = if (value in 0.0..1.0) emptyList() else listOf(Problem(path, "$value", "from 0 to 1"))

    private companion object {
        const val DEFAULT_EXPLORED_SHARE = 0.02
        const val DEFAULT_ROLL_OUT_FALSE_ALARM = 0.01
    }
}
