package dev.almondhaven.router.settings

import dev.almondhaven.settings.DurationText
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of billing.
 *
 * @property writeInterval minimum interval between writes by the router that writes for its failure domain.
 * @property records maximum number of records kept in memory while the platform is unavailable; the same number of
 * records is kept in addition as copies for other routers.
 */
@Serializable
public data class BillingSettings(
    @Serializable(with = DurationText::class) public val writeInterval: Duration = 1.seconds,
    public val records: Int = DEFAULT_RECORDS,
) {
    private companion object {
        const val DEFAULT_RECORDS = 60_000
    }
}
