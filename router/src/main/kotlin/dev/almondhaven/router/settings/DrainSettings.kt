package dev.almondhaven.router.settings

import dev.almondhaven.settings.DurationText
import dev.almondhaven.settings.Problem
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How a planned stop goes.
 *
 * @property balancerDelay time between the failing readiness check and the end of listening, in which the balancer takes
 * the router out.
 * @property timeout longest wait for running requests; at least the request timeout, so that none is cut.
 */
@Serializable
public data class DrainSettings(
    @Serializable(with = DurationText::class) public val balancerDelay: Duration = 5.seconds,
    @Serializable(with = DurationText::class) public val timeout: Duration = 65.seconds,
) {
    /** Everything that is wrong with the values, given the longest time that a request may take. */
    internal fun problems(requestTimeout: Duration): List<Problem> =
        buildList {
            if (balancerDelay.isNegative()) add(Problem("drain.balancerDelay", "$balancerDelay", "0s or more"))
            if (timeout < requestTimeout) {
                add(Problem("drain.timeout", "$timeout", "at least requests.requestTimeout, $requestTimeout"))
            }
        }
}
