package dev.almondhaven.router.limit

import dev.almondhaven.decision.limit.OrganisationUsage
import dev.almondhaven.decision.membership.FleetView
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.RouterId
import dev.almondhaven.router.peer.GossipTopic
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/**
 * Gossips each router's usage of the organisations' limits. Each router's usage report carries a sequence number; the
 * report with the highest number counts, and a report that is not renewed within [REPORT_EXPIRY] is dropped.
 */
public class UsageGossip(
    private val fleet: FleetView,
    private val clock: NanoClock,
) : GossipTopic {
    @Serializable
    private data class ReportedUsage(
        val organisation: OrganisationId,
        val inFlight: Double,
        val tokensPerMinute: Double,
    )

    @Serializable
    private data class RouterReport(
        val router: RouterId,
        val sequence: Long,
        val uses: List<ReportedUsage>,
    )

    private class ReceivedReport(
        val report: RouterReport,
        val receivedAt: Long,
    )

    private val received = ConcurrentHashMap<RouterId, ReceivedReport>()

    @Volatile
    private var ownReport = RouterReport(fleet.self.id, 0, emptyList())

    override val name: String get() = "usage"

    /** Sets the usage that this router reports to the others. */
    public fun publish(uses: Map<OrganisationId, OrganisationUsage>) {
        val usages = uses.map { (id, use) -> ReportedUsage(id, use.inFlight, use.tokensPerMinute) }
        ownReport = RouterReport(fleet.self.id, ownReport.sequence + 1, usages)
    }

    /** The usage of [organisation]'s limits by the other live routers, according to their latest reports. */
    public fun usageOfOthers(organisation: OrganisationId): OrganisationUsage {
        val now = clock.nanos()
        val live = fleet.members.mapTo(HashSet()) { it.id }
        received.values.removeIf {
            it.report.router !in live || now - it.receivedAt > REPORT_EXPIRY.inWholeNanoseconds
        }
        return received.values
            .flatMap { it.report.uses }
            .filter { it.organisation == organisation }
            .fold(OrganisationUsage.NONE) { sum, use -> sum + OrganisationUsage(use.inFlight, use.tokensPerMinute) }
    }

    override fun nextPayload(budgetBytes: Int): JsonElement? {
        val reports = ArrayList<RouterReport>()
        var bytes = 0
        val newestFirst = received.values.sortedByDescending { it.receivedAt }.map { it.report }
        for (report in listOf(ownReport) + newestFirst) {
            bytes += BYTES_PER_ROUTER + report.uses.size * BYTES_PER_ORGANISATION
            if (bytes > budgetBytes) break
            reports += report
        }
        if (reports.isEmpty()) return null
        return Json.encodeToJsonElement(REPORTS_SERIALIZER, reports)
    }

    override fun mergePayload(
        from: RouterId,
        payload: JsonElement,
    ) {
        val reports =
            try {
                LENIENT_JSON.decodeFromJsonElement(REPORTS_SERIALIZER, payload)
            } catch (_: SerializationException) {
                return
            }
        val now = clock.nanos()
        reports.filter { it.router != fleet.self.id }.forEach { report ->
            received.merge(report.router, ReceivedReport(report, now)) { known, new ->
                if (new.report.sequence > known.report.sequence) new else known
            }
        }
    }

    private companion object {
        val REPORT_EXPIRY = 10.seconds

        /** Estimated encoded size of a report without its organisations, and of each organisation in it. */
        const val BYTES_PER_ROUTER = 90
        const val BYTES_PER_ORGANISATION = 80
        val REPORTS_SERIALIZER = ListSerializer(RouterReport.serializer())
        val LENIENT_JSON = Json { ignoreUnknownKeys = true }
    }
}
