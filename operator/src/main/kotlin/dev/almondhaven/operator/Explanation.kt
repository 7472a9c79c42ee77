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

/** A model, or one version of it, that a caller names. */
internal data class NamedModel(
    val model: ModelId,
    val version: VersionId? = null,
) {
    fun covers(id: ModelVersionId): Boolean = id.model == model && (version == null || version == id.version)
}

/**
 * A request that somebody asks about.
 *
 * @property pinned the version that its session runs on.
 * @property key decides its place in a roll-out.
 */
internal data class ExplainQuestion(
    val organisation: OrganisationId,
    val taskClass: TaskClass,
    val named: NamedModel?,
    val pinned: ModelVersionId?,
    val key: SessionId,
    val demand: Demand,
)

/** Explains a choice line by line, by the decision code that routers run. */
internal object Explanation {
    fun of(
        index: CatalogueIndex,
        question: ExplainQuestion,
        epochMillis: Long,
    ): List<String> {
        val organisation = index.organisation(question.organisation) ?: return listOf("no such organisation")
        val pinned =
            question.pinned?.let { version ->
                SessionVersionResolver
                    .resolve(index, organisation.id, version)
                    .fold({ return listOf(describe(it)) }, { it })
            }
        val covered = covered(index, question, pinned)
        val usable = if (pinned != null) covered else inReach(index, question, covered, epochMillis)
        val verdicts = index.catalogue.models.map { verdict(index, organisation, it, covered, usable) }
        val plan = PlanChooser.choose(usable.map { candidate(it, question.taskClass) }, question.demand)
        return heading(index, question, pinned) + verdicts + chosen(index, plan, question.demand)
    }

    private fun covered(
        index: CatalogueIndex,
        question: ExplainQuestion,
        pinned: ModelVersionId?,
    ): List<ModelVersion> =
        index.allowedVersions(question.organisation).filter { version ->
            if (pinned != null) version.id == pinned else question.named?.covers(version.id) ?: true
        }

    private fun inReach(
        index: CatalogueIndex,
        question: ExplainQuestion,
        covered: List<ModelVersion>,
        epochMillis: Long,
    ): List<ModelVersion> {
        if (question.named?.version != null) return covered
        val served = covered.filter { index.endpoints(it.id).isNotEmpty() }.ifEmpty { covered }
        return RollOutAssignment.eligible(served, question.key.value, epochMillis)
    }

    private fun candidate(
        version: ModelVersion,
        taskClass: TaskClass,
    ): Candidate = Candidate(version, VersionEstimate.of(version, taskClass, emptyMap(), epochMillis = 0))

    private fun heading(
        index: CatalogueIndex,
        question: ExplainQuestion,
        pinned: ModelVersionId?,
    ): List<String> =
        buildList {
            val demand = question.demand
            add(
                "generation ${index.generation}, ${question.organisation}, ${question.taskClass}, target ${demand.target}",
            )
            if (pinned != null) add("the session runs on $pinned")
            if (pinned != null && pinned != question.pinned) add("  ${question.pinned} is withdrawn, the session moves")
        }

    private fun verdict(
        index: CatalogueIndex,
        organisation: Organisation,
        version: ModelVersion,
        covered: List<ModelVersion>,
        usable: List<ModelVersion>,
    ): String {
        val endpoints = index.endpoints(version.id).size
        val reason =
            when {
                version.state == VersionState.WITHDRAWN -> "out: withdrawn"
                !organisation.allows(version.id) -> "out: the organisation may not use it"
                version !in covered -> "out: the request or its session names another"
                version in usable && endpoints > 0 -> "may serve"
                endpoints == 0 -> "out: no endpoint takes new work"
                else -> "out: it is another session's turn in the roll-out"
            }
        return "  ${version.id}: $reason ($endpoints endpoints)"
    }

    private fun chosen(
        index: CatalogueIndex,
        plan: Plan?,
        demand: Demand,
    ): List<String> {
        if (plan == null) return listOf("refused: no version in service takes the request")
        val second = plan.escalation?.let { ", then ${it.id} below confidence ${plan.minimumConfidence}" }.orEmpty()
        val quality = if (plan.meetsTarget) "reaches" else "stays below"
        return buildList {
            add("chosen: ${plan.first.id}$second")
            add("  expected cost ${rounded(plan.cost)} micro-units, expected quality ${rounded(plan.quality)}")
            add("  the quality $quality the target ${demand.target}")
            index.endpoints(plan.first.id).groupBy { it.failureDomain }.forEach { (domain, endpoints) ->
                add("  in $domain: ${endpoints.joinToString { it.id.value }}")
            }
        }
    }

    private fun describe(refusal: SessionRefusal): String =
        when (refusal) {
            is SessionRefusal.Withdrawn -> "refused: ${refusal.version} is withdrawn without a successor"
            is SessionRefusal.NotAllowed -> "refused: the organisation may not use ${refusal.version}"
            is SessionRefusal.Unknown -> "refused: no version ${refusal.version} in the configuration"
        }

    private fun rounded(value: Double): String = "%.3f".format(value)
}
