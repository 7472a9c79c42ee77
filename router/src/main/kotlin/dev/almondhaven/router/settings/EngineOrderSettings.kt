package dev.almondhaven.router.settings

import dev.almondhaven.settings.DurationText
import dev.almondhaven.settings.Problem
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Orders to model engines.
 *
 * @property enabled whether routers order engines to load and unload versions as the release notes say.
 * @property interval time between two looks at the engines of a failure domain.
 * @property loadsPerMinute loads that the weight store bears from all engines together.
 * @property callTimeout longest wait for one engine; no order takes effect later than this after it was sent.
 */
@Serializable
public data class EngineOrderSettings(
    public val enabled: Boolean = false,
    @Serializable(with = DurationText::class) public val interval: Duration = 2.seconds,
    public val loadsPerMinute: Double = DEFAULT_LOADS_PER_MINUTE,
    @Serializable(with = DurationText::class) public val callTimeout: Duration = 5.seconds,
) {
    /** Everything that is wrong with the values themselves. */
    internal fun problems(): List<Problem> =
        buildList {
            addAll(RouterSettings.positive("engineOrders.interval", interval))
            addAll(RouterSettings.positive("engineOrders.callTimeout", callTimeout))
            if (!(loadsPerMinute > 0)) add(Problem("engineOrders.loadsPerMinute", "$loadsPerMinute", "more than 0"))
        }

    private companion object {
        const val DEFAULT_LOADS_PER_MINUTE = 12.0
    }
}
