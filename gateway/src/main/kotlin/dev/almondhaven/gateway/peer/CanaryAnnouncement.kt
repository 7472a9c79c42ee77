package dev.almondhaven.gateway.peer

import dev.almondhaven.decision.traffic.CanaryCounts
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Announces what a router has seen of both versions of a service on one route since a roll-out began.
 *
 * @property order revision at which the roll-out's order was created.
 * @property router the router whose counts these are.
 * @property slowness whether failures are answers that were slow.
 * @property rejected whether that router has found the canary bad.
 */
@Serializable
internal data class CanaryAnnouncement(
    @SerialName("s") val service: String,
    @SerialName("c") val order: Long,
    @SerialName("r") val router: String,
    @SerialName("t") val route: String,
    @SerialName("oa") val oldAnswers: Long,
    @SerialName("of") val oldFailures: Long,
    @SerialName("na") val canaryAnswers: Long,
    @SerialName("nf") val canaryFailures: Long,
    @SerialName("x") val rejected: Boolean = false,
    @SerialName("w") val slowness: Boolean = false,
) {
    /** The counts, or null if they are impossible. */
    fun counts(): CanaryCounts? =
        if (oldFailures in 0..oldAnswers && canaryFailures in 0..canaryAnswers) {
            CanaryCounts(oldAnswers, oldFailures, canaryAnswers, canaryFailures)
        } else {
            null
        }

    companion object {
        fun of(
            service: String,
            order: Long,
            router: String,
            subject: EvidenceSubject,
            counts: CanaryCounts,
            rejected: Boolean,
        ): CanaryAnnouncement =
            CanaryAnnouncement(
                service,
                order,
                router,
                subject.route,
                counts.oldAnswers,
                counts.oldFailures,
                counts.canaryAnswers,
                counts.canaryFailures,
                rejected,
                subject.slowness,
            )
    }
}
