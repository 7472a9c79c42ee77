package dev.almondhaven.operator

import dev.almondhaven.catalogue.CatalogueIndex
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.Organisation
import dev.almondhaven.catalogue.VersionState
import dev.almondhaven.decision.choice.Candidate
import dev.almondhaven.decision.choice.Demand
import dev.almondhaven.decision.choice.Plan
import dev.almondhaven.decision.choice.PlanChooser
import dev.almondhaven.decision.choice.VersionEstimate
import dev.almondhaven.decision.rollout.RollOutAssignment
import dev.almondhaven.decision.session.SessionRefusal
import dev.almondhaven.decision.session.SessionVersionResolver
import dev.almondhaven.model.ModelId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.SessionId
import dev.almondhaven.model.TaskClass
import dev.almondhaven.model.VersionId

/** The model that a request names: any version of it, or one version if [version] is set. */
internal data class RequestedModel(
    val model: ModelId,
    val version: VersionId? = null,
) {
    fun matches(id: ModelVersionId): Boolean = id.model == model && (version == null || version == id.version)
}

/**
 * A hypothetical request whose routing is to be explained.
 *
 * @property named model that the request names, or null for any.
 * @property pinned version to which the request's session is pinned.
 * @property key session or request id, which decides whether a roll-out includes the request.
 */
internal data class ExplainQuery(
    val organisation: OrganisationId,
    val taskClass: TaskClass,
    val named: RequestedModel?,
    val pinned: ModelVersionId?,
    val key: SessionId,
    val demand: Demand,
)

/** Explains a routing decision in lines of text, computed by the decision code that routers run. */
internal object Explanation {
    fun of(
        index: CatalogueIndex,
        query: ExplainQuery,
        epochMillis: Long,
    ): List<String> {
        val organisation = index.organisation(query.organisation) ?: return listOf("no such organisation")
        val pinned =
            query.pinned?.let { version ->
                SessionVersionResolver
                    .resolve(index, organisation.id, version)
                    .fold({ return listOf(refusalLine(it)) }, { it })
            }
        val matching = matchingVersions(index, query, pinned)
        val eligible = if (pinned != null) matching else eligibleVersions(index, query, matching, epochMillis)
        val versionLines = index.catalogue.models.map { versionLine(index, organisation, it, matching, eligible) }
        val plan = PlanChooser.choose(eligible.map { candidate(it, query.taskClass) }, query.demand)
        return headerLines(index, query, pinned) + versionLines + planLines(index, plan, query.demand)
    }

    private fun matchingVersions(
        index: CatalogueIndex,
        query: ExplainQuery,
        pinned: ModelVersionId?,
    ): List<ModelVersion> =
        index.allowedVersions(query.organisation).filter { version ->
            if (pinned != null) version.id == pinned else query.named?.matches(version.id) ?: true
        }

    private fun eligibleVersions(
        index: CatalogueIndex,
        query: ExplainQuery,
        matching: List<ModelVersion>,
        epochMillis: Long,
    ): List<ModelVersion> {
        if (query.named?.version != null) return matching
        val withEndpoints = matching.filter { index.endpoints(it.id).isNotEmpty() }.ifEmpty { matching }
        return RollOutAssignment.eligible(withEndpoints, query.key.value, epochMillis)
    }

    private fun candidate(
        version: ModelVersion,
        taskClass: TaskClass,
    ): Candidate = Candidate(version, VersionEstimate.of(version, taskClass, emptyMap(), epochMillis = 0))

    private fun headerLines(
        index: CatalogueIndex,
        query: ExplainQuery,
        pinned: ModelVersionId?,
    ): List<String> =
        buildList {
            val demand = query.demand
            add(
                "generation ${index.generation}, ${query.organisation}, ${query.taskClass}, target ${demand.target}",
            )
            if (pinned != null) add("the session is pinned to $pinned")
            if (pinned != null && pinned != query.pinned) {
                add("  ${query.pinned} is withdrawn, the session moves to its successor")
            }
        }

    private fun versionLine(
        index: CatalogueIndex,
        organisation: Organisation,
        version: ModelVersion,
        matching: List<ModelVersion>,
        eligible: List<ModelVersion>,
    ): String {
        val endpoints = index.endpoints(version.id).size
        val reason =
            when {
                version.state == VersionState.WITHDRAWN -> "excluded: withdrawn"
                !organisation.allows(version.id) -> "excluded: the organisation may not use it"
                version !in matching -> "excluded: the request names, or its session is pinned to, another version"
                version in eligible && endpoints > 0 -> "eligible"
                endpoints == 0 -> "excluded: no endpoint accepts new requests"
                else -> "excluded: the roll-out assigns this session to another version"
            }
        return "  ${version.id}: $reason ($endpoints endpoints)"
    }

    private fun planLines(
        index: CatalogueIndex,
        plan: Plan?,
        demand: Demand,
    ): List<String> {
        if (plan == null) return listOf("refused: no version in service accepts the request")
        val escalation =
            plan.escalation?.let { ", escalating to ${it.id} below confidence ${plan.minimumConfidence}" }.orEmpty()
        val comparison = if (plan.meetsTarget) "meets" else "is below"
        return buildList {
            add("chosen: ${plan.first.id}$escalation")
            add("  expected cost ${rounded(plan.cost)} micro-units, expected quality ${rounded(plan.quality)}")
            add("  the expected quality $comparison the target ${demand.target}")
            index.endpoints(plan.first.id).groupBy { it.failureDomain }.forEach { (domain, endpoints) ->
                add("  in $domain: ${endpoints.joinToString { it.id.value }}")
            }
        }
    }

    private fun refusalLine(refusal: SessionRefusal): String =
        when (refusal) {
            is SessionRefusal.Withdrawn -> "refused: ${refusal.version} is withdrawn without a successor"
            is SessionRefusal.NotAllowed -> "refused: the organisation may not use ${refusal.version}"
            is SessionRefusal.Unknown -> "refused: no version ${refusal.version} in the configuration"
        }

    private fun rounded(value: Double): String = "%.3f".format(value)
}
