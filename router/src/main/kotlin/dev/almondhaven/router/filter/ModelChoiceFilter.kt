package dev.almondhaven.router.filter

import dev.almondhaven.model.Outcome
import dev.almondhaven.model.ResultCode
import java.util.concurrent.CompletableFuture

/**
 * Chooses the plan of a request to a model and runs it: one version, or a cascade of two. If the version is withdrawn
 * or quarantined between the choice and the dispatch, the filter chooses once more.
 */
internal class ModelChoiceFilter(
    private val planner: RequestPlanner,
    private val steps: StepRunner,
    private val cascades: CascadeRunner,
) : RequestFilter {
    override fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val call = exchange.call as? Call.Model ?: return next.handle(exchange)
        return choose(exchange, call, next).thenCompose { answer ->
            if (isInvalidated(answer)) choose(exchange, call, next) else answer.completed()
        }
    }

    private fun choose(
        exchange: Exchange,
        call: Call.Model,
        next: RequestHandler,
    ): CompletableFuture<Answer> =
        planner.plan(exchange, call).fold(
            { Answer.Refused(it).completed() },
            { run(exchange, it, next) },
        )

    private fun run(
        exchange: Exchange,
        planned: PlannedRequest,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val plan = planned.plan
        if (!plan.meetsTarget && !plan.isExploration) {
            exchange.journal.addAnswerHeader(QualityHeader.NAME, QualityHeader.BELOW_TARGET)
        }
        return when {
            plan.escalation != null -> cascades.run(exchange, planned, plan.escalation!!, next)
            plan.isExploration -> cascades.explore(exchange, plan.first, planned.taskClass, next)
            else -> steps.run(exchange, plan.first, planned.taskClass, next)
        }
    }

    /** Whether the chosen version ceased to be usable before the request was dispatched. */
    private fun isInvalidated(answer: Answer): Boolean {
        val refusal = (answer as? Answer.Refused)?.refusal ?: return false
        return refusal.outcome == Outcome.NOT_RUN && refusal.code in CODES_OF_UNUSABLE_VERSION
    }

    private companion object {
        val CODES_OF_UNUSABLE_VERSION = setOf(ResultCode.VERSION_QUARANTINED, ResultCode.UNKNOWN_MODEL)
    }
}
