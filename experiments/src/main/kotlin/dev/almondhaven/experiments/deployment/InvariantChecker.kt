package dev.almondhaven.experiments.deployment

import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.Outcome
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The result of checking one invariant; [violations] lists the counterexamples and is empty when it held. */
public data class Finding(
    public val promise: String,
    public val violations: List<String>,
) {
    public val held: Boolean get() = violations.isEmpty()
}

/** Checks invariants by comparing the responses to callers with the runs on endpoints and the billing records. */
public class InvariantChecker private constructor(
    private val seen: Observations,
) {
    private val orderRuns = seen.serviceRuns.map { it.record }.filter { it.requestId.isNotEmpty() }
    private val runsByKey = orderRuns.groupBy { it.requestId }
    private val ordersByKey = seen.calls.filter { it.kind == CallKind.ORDER }.groupBy { it.key }
    private val endpoints = seen.catalogue.endpoints.associateBy { it.id }

    private fun findings(): List<Finding> =
        listOf(
            Finding("a non-idempotent request runs at most once", doubleOrders()),
            Finding("a refusal that says not run is true", falseRefusals()),
            Finding("an answered order has run", answeredWithoutRun()),
            Finding(
                "each answered request is billed",
                unbilledCalls().map { "${it.kind} ${it.requestId} of ${it.router}" },
            ),
            Finding("each request is billed once", billedTwice()),
            Finding("a request runs only on what its organisation is allowed", disallowedRuns()),
            Finding("a withdrawn version gets no new work after $BOUND", withdrawnRuns()),
            Finding("a failure domain taken out gets no new work after $BOUND", runsInOutages()),
            Finding("each caller gets its own whole answer", damagedAnswers()),
            Finding("only callers of a killed router lose their connection", lostConnections()),
            Finding("a session keeps its version", sessionChanges()),
        )

    private fun doubleOrders(): List<String> =
        runsByKey.filterValues { it.size > 1 }.map { (key, runs) -> "$key ran ${runs.size} times" }

    /**
     * Orders that were refused as not run but did run. Attempts under one idempotency key are sequential, so a run
     * that arrives after a refusal belongs to a later attempt, unless the refused attempt was the last one.
     */
    private fun falseRefusals(): List<String> =
        ordersByKey.flatMap { (key, calls) ->
            val runs = runsByKey[key].orEmpty()
            calls
                .filter { it.outcome == Outcome.NOT_RUN }
                .filter { refused -> runs.any { refused === calls.last() || it.arrivedAt <= refused.endedAt } }
                .map { "$key ran, told ${it.code} ${it.outcome}" }
        }

    private fun answeredWithoutRun(): List<String> =
        ordersByKey
            .filterValues { calls -> calls.any { it.end == CallEnd.ANSWERED } }
            .keys
            .filter { it !in runsByKey }

    private fun unbilledCalls(): List<CallRecord> {
        val billed = seen.bills.map { it.requestId }.toSet()
        return answered().filter { it.requestId !in billed }
    }

    private fun answered(): List<CallRecord> =
        seen.calls
            .filter { it.end == CallEnd.ANSWERED }
            .groupBy { if (it.key.isEmpty()) it.requestId else it.key }
            .values
            .filter { calls -> calls.size == 1 }
            .map { it.single() }

    private fun billedTwice(): List<String> =
        seen.bills
            .groupBy { it.requestId }
            .filterValues { it.size > 1 }
            .map { (requestId, bills) -> "$requestId billed ${bills.size} times" }

    private fun disallowedRuns(): List<String> =
        seen.engineRuns
            .filterNot { allowed(it.record.organisation, it.record.model) }
            .map { "${it.record.organisation} ran ${it.record.model} on ${it.endpoint}" }

    private fun allowed(
        organisation: String,
        model: String,
    ): Boolean {
        val id = ModelVersionId.parseOrNull(model) ?: return false
        return seen.catalogue.organisations.any { it.id.value == organisation && it.allows(id) }
    }

    private fun withdrawnRuns(): List<String> =
        seen.withdrawals.flatMap { withdrawal ->
            seen.engineRuns
                .filter { it.record.model == withdrawal.version.toString() }
                .filter { it.record.arrivedAt > withdrawal.at + BOUND.inWholeMilliseconds }
                .map { "${withdrawal.version} ran ${it.record.arrivedAt - withdrawal.at} ms after its withdrawal" }
        }

    private fun runsInOutages(): List<String> =
        seen.outages.flatMap { outage ->
            val span = outage.from + BOUND.inWholeMilliseconds..outage.until
            (seen.engineRuns + seen.serviceRuns)
                .filter { endpoints[it.endpoint]?.isIn(outage) == true && it.record.arrivedAt in span }
                .map { "${it.endpoint} got work ${it.record.arrivedAt - outage.from} ms after ${outage.domain} left" }
        }

    private fun Endpoint.isIn(outage: DomainOutage): Boolean = failureDomain == outage.domain

    private fun damagedAnswers(): List<String> =
        seen.calls.filter { it.end == CallEnd.DAMAGED }.map { "${it.kind} ${it.requestId}: ${it.detail}" }

    private fun lostConnections(): List<String> =
        seen.calls
            .filter { it.end == CallEnd.CONNECTION_LOST && it.router !in seen.killed }
            .map { "${it.kind} at ${it.router} after ${it.millis} ms: ${it.detail}" }

    private fun sessionChanges(): List<String> {
        val withdrawn = seen.withdrawals.map { it.version.toString() }.toSet()
        return seen.calls
            .filter { it.session.isNotEmpty() && it.end == CallEnd.ANSWERED && it.model !in withdrawn }
            .groupBy { it.session }
            .mapValues { (_, calls) -> calls.map { it.model }.distinct() }
            .filterValues { it.size > 1 }
            .map { (session, models) -> "$session ran on $models" }
    }

    public companion object {
        /** Time within which a withdrawal or a domain outage must take effect on every router. */
        public val BOUND: Duration = 5.seconds

        /** Checks every invariant against [observations]. */
        public fun check(observations: Observations): List<Finding> = InvariantChecker(observations).findings()

        /**
         * Answered calls of [observations] without a billing record. Orders with more than one attempt under the same
         * idempotency key are left out.
         */
        public fun unbilledCalls(observations: Observations): List<CallRecord> =
            InvariantChecker(observations).unbilledCalls()
    }
}
