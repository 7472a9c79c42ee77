package dev.almondhaven.router.settings

import dev.almondhaven.settings.DurationText
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How requests are billed.
 *
 * @property writeInterval least time between two writes by the router that writes for its failure domain.
 * @property records most records kept while the platform is down; as many again are kept for other routers.
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
