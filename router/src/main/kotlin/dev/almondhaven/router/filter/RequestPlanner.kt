package dev.almondhaven.router.filter

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.almondhaven.catalogue.TargetMissedRule
import dev.almondhaven.decision.choice.Candidate
import dev.almondhaven.decision.choice.Demand
import dev.almondhaven.decision.choice.ExplorationBudget
import dev.almondhaven.decision.choice.Plan
import dev.almondhaven.decision.choice.PlanChooser
import dev.almondhaven.decision.choice.RequestShape
import dev.almondhaven.decision.choice.TaskClassifier
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.model.TaskClass
import dev.almondhaven.router.controller.ChoiceController
import dev.almondhaven.router.controller.ChoiceSnapshot
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.intOrNull
import java.time.InstantSource

/** The plan of one request, and the task class under which its outcome is recorded. */
internal data class PlannedRequest(
    val plan: Plan,
    val taskClass: TaskClass,
)

/**
 * Plans a request: determines its task class and candidate versions, and chooses the cheapest plan that reaches the
 * quality target.
 */
internal class RequestPlanner(
    private val policy: VersionPolicy,
    private val choice: ChoiceController,
    private val exploration: ExplorationBudget,
    private val conditions: VersionConditionsSource,
    private val clock: NanoClock,
    private val wallClock: InstantSource,
) {
    fun plan(
        exchange: Exchange,
        call: Call.Model,
    ): Either<Refusal, PlannedRequest> {
        val snapshot = choice.snapshot
        val shape = shape(exchange, call)
        val taskClass = taskClass(exchange, shape, snapshot)
        val candidates = candidates(exchange, snapshot, taskClass)
        if (candidates.isEmpty()) return notRun(ResultCode.NO_MODEL_ALLOWED, "no usable model version is in service")
        val demand = demand(exchange, shape, taskClass)
        val best =
            PlanChooser.choose(candidates, demand)
                ?: return notRun(
                    ResultCode.PROMPT_TOO_LONG,
                    "the prompt of about ${demand.promptTokens} tokens is too long for every candidate model",
                )
        if (mustRefuse(exchange, best)) {
            val detail = "the quality target is ${demand.target}, the best plan is expected to reach ${best.quality}"
            return notRun(ResultCode.TARGET_MISSED, detail)
        }
        return PlannedRequest(withExploration(exchange, best, candidates, demand), taskClass).right()
    }

    private fun shape(
        exchange: Exchange,
        call: Call.Model,
    ): RequestShape =
        RequestShape(
            promptTokens = exchange.body.length() / BODY_BYTES_PER_TOKEN,
            outputTokensLimit = (call.body["max_tokens"] as? JsonPrimitive)?.intOrNull?.takeIf { it > 0 },
            hasImages = RequestFeatures.containsImages(call.body),
        )

    /** Ignores declared classes that are not configured, so that callers can't grow the evidence without bound. */
    private fun taskClass(
        exchange: Exchange,
        shape: RequestShape,
        snapshot: ChoiceSnapshot,
    ): TaskClass =
        exchange.headers
            .get(TASK_CLASS_HEADER)
            ?.let { TaskClass(it.trim().lowercase()) }
            ?.takeIf { it in snapshot.taskClasses }
            ?: TaskClassifier.classify(shape)

    private fun candidates(
        exchange: Exchange,
        snapshot: ChoiceSnapshot,
        taskClass: TaskClass,
    ): List<Candidate> {
        val rollOutKey = exchange.headers.get(SessionFilter.ID_HEADER) ?: exchange.requestId.value
        return policy.candidates(exchange, rollOutKey, wallClock.millis()).map { version ->
            Candidate(version, snapshot.estimate(version, taskClass), conditions.of(version.id))
        }
    }

    private fun demand(
        exchange: Exchange,
        shape: RequestShape,
        taskClass: TaskClass,
    ): Demand =
        Demand(
            shape.promptTokens,
            TaskClassifier.expectedOutputTokens(taskClass, shape.outputTokensLimit),
            exchange.organisation.quality.of(taskClass),
            (exchange.deadline - clock.nanos()) / NANOS_PER_MILLISECOND,
            mayEscalate = mayEscalate(exchange),
        )

    private fun mayEscalate(exchange: Exchange): Boolean =
        exchange.call.idempotent && policy.hasFreeVersionChoice(exchange) &&
            !exchange.headers.contains(SessionFilter.ID_HEADER)

    /** A version named by the caller or pinned by the session is used even if it misses the quality target. */
    private fun mustRefuse(
        exchange: Exchange,
        plan: Plan,
    ): Boolean =
        !plan.meetsTarget &&
            policy.hasFreeVersionChoice(exchange) &&
            exchange.organisation.quality.whenMissed == TargetMissedRule.REFUSE

    private fun withExploration(
        exchange: Exchange,
        plan: Plan,
        candidates: List<Candidate>,
        demand: Demand,
    ): Plan = if (policy.hasFreeVersionChoice(exchange)) exploration.explore(plan, candidates, demand) else plan

    private fun notRun(
        code: ResultCode,
        detail: String,
    ): Either<Refusal, Nothing> = Refusal.notRun(code, detail).left()

    private companion object {
        const val TASK_CLASS_HEADER = "x-task-class"
        const val BODY_BYTES_PER_TOKEN = 4
        const val NANOS_PER_MILLISECOND = 1_000_000L
    }
}
