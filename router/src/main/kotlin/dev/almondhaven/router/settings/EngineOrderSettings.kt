package dev.almondhaven.router.settings

import dev.almondhaven.settings.DurationText
import dev.almondhaven.settings.Problem
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the orders that tell model engines which versions to load and unload.
 *
 * @property enabled whether routers order engines to load and unload versions according to the release notes.
 * @property interval interval between reconciliations of the engines of a failure domain.
 * @property loadsPerMinute maximum rate of model loads by all engines together, which the weight store has to sustain.
 * @property callTimeout timeout of a call to an engine; no order takes effect later than this after it was sent.
 */
@Serializable
public data class EngineOrderSettings(
    public val enabled: Boolean = false,
    @Serializable(with = DurationText::class) public val interval: Duration = 2.seconds,
    public val loadsPerMinute: Double = DEFAULT_LOADS_PER_MINUTE,
    @Serializable(with = DurationText::class) public val callTimeout: Duration = 5.seconds,
) {
    /** Validates the settings and returns every problem found. */
    internal fun validate(): List<Problem> =
        buildList {
            addAll(RouterSettings.validatePositive("engineOrders.interval", interval))
            addAll(RouterSettings.validatePositive("engineOrders.callTimeout", callTimeout))
            if (!(loadsPerMinute > 0)) add(Problem("engineOrders.loadsPerMinute", "$loadsPerMinute", "more than 0"))
        }

    private companion object {
        const val DEFAULT_LOADS_PER_MINUTE = 12.0
    }
}
