package dev.almondhaven.router.settings

import dev.almondhaven.settings.DurationText
import dev.almondhaven.settings.Problem
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of a graceful shutdown.
 *
 * @property balancerDelay time between failing the readiness check and closing the listener, in which the load balancer
 * takes the router out of rotation.
 * @property timeout longest wait for running requests; at least the request timeout, so that no request is aborted.
 */
@Serializable
public data class DrainSettings(
    @Serializable(with = DurationText::class) public val balancerDelay: Duration = 5.seconds,
    @Serializable(with = DurationText::class) public val timeout: Duration = 65.seconds,
) {
    /** Validates the settings against the longest time that a request may take, and returns every problem found. */
    internal fun validate(requestTimeout: Duration): List<Problem> =
        buildList {
            if (balancerDelay.isNegative()) add(Problem("drain.balancerDelay", "$balancerDelay", "0s or more"))
            if (timeout < requestTimeout) {
                add(Problem("drain.timeout", "$timeout", "at least requests.requestTimeout, $requestTimeout"))
            }
        }
}
