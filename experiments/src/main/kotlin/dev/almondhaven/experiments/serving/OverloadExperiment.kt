package dev.almondhaven.experiments.serving

import dev.almondhaven.decision.limit.EnqueueResult
import dev.almondhaven.decision.limit.FairQueue
import dev.almondhaven.decision.limit.QueuedRequest
import dev.almondhaven.experiments.Experiment
import dev.almondhaven.experiments.ExperimentReport
import dev.almondhaven.experiments.ExperimentReport.Companion.number
import dev.almondhaven.model.OrganisationId
import org.apache.commons.rng.simple.RandomSource
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Compares goodput and fairness of the admission queue under overload with those of one unbounded FIFO queue. */
public class OverloadExperiment : Experiment {
    override val name: String get() = "overload"

    override val about: String get() = "Goodput and fairness of the waiting queue from 0.5 to 5 times the capacity."

    private class QueueSimulation(
        val offered: Double,
        val fair: Boolean,
    ) {
        private val loop = VirtualTimeLoop()
        private val random = RandomSource.SPLIT_MIX_64.create(1L)
        private val queue = FairQueue<Long>()
        private val fifoQueue = ArrayDeque<QueuedRequest<Long>>()
        private var running = 0
        val answeredInTime = IntArray(ORGANISATIONS)
        val arrivals = IntArray(ORGANISATIONS)
        var refused = 0
            private set
        var late = 0
            private set

        fun run(): QueueSimulation {
            loop.after(Duration.ZERO) { arrive() }
            if (fair) loop.every(EXPIRY_INTERVAL) { queue.expired(loop.now).forEach { _ -> refused++ } }
            loop.runUntil(SIMULATED_TIME)
            return this
        }

        private fun arrive() {
            // Two of the ten organisations send 80% of the requests.
            val large = random.nextDouble() < LARGE_ORGANISATIONS_SHARE
            val organisation = if (large) random.nextInt(2) else 2 + random.nextInt(ORGANISATIONS - 2)
            arrivals[organisation]++
            val latestStart = loop.now + (DEADLINE - SERVICE_TIME).inWholeNanoseconds
            val id = OrganisationId("$organisation")
            val request = QueuedRequest(loop.now, id, 1.0, 1.0, latestStart)
            if (!fair) {
                fifoQueue += request
            } else if (queue.offer(request, loop.now) is EnqueueResult.Refused) {
                refused++
            }
            serve()
            loop.after((-ln(1 - random.nextDouble()) / (offered * CAPACITY_PER_SECOND)).seconds) { arrive() }
        }

        private fun serve() {
            while (running < SLOTS) {
                val next = (if (fair) queue.poll(loop.now) else fifoQueue.removeFirstOrNull()) ?: return
                running++
                loop.after(SERVICE_TIME) { end(next) }
            }
        }

        private fun end(request: QueuedRequest<Long>) {
            running--
            val inTime = loop.now - request.value <= DEADLINE.inWholeNanoseconds
            if (inTime) answeredInTime[request.organisation.value.toInt()]++ else late++
            serve()
        }
    }

    override fun run(report: ExperimentReport) {
        report.text(
            "$SLOTS slots, $SERVICE_TIME each, deadline $DEADLINE, ten organisations with equal shares of which two " +
                "send eight tenths of the requests; $SIMULATED_TIME of virtual time, seed 1. Goodput counts answers " +
                "within the deadline.",
        )
        val rows =
            listOf(0.5, 1.0, 2.0, 5.0).flatMap { offered ->
                listOf(false, true).map { fair -> row(offered, QueueSimulation(offered, fair).run()) }
            }
        val columns = listOf("offered / capacity", "queue", "goodput / capacity", "late", "refused early", "Jain")
        report.table("Goodput against offered load", columns, rows)
    }

    private fun row(
        offered: Double,
        simulation: QueueSimulation,
    ): List<String> {
        val goodput = simulation.answeredInTime.sum() / (SIMULATED_TIME.inWholeSeconds * CAPACITY_PER_SECOND)
        return listOf(
            number(offered, 1),
            if (simulation.fair) "fair, refuses early" else "in order, unbounded",
            number(goodput, 3),
            "${simulation.late}",
            "${simulation.refused}",
            number(jainIndex(simulation), 3),
        )
    }

    /** Jain's fairness index over the ratio of each organisation's goodput to its max-min fair share. */
    private fun jainIndex(simulation: QueueSimulation): Double {
        val capacity = SIMULATED_TIME.inWholeSeconds * CAPACITY_PER_SECOND
        val fair = maxMinShares(simulation.arrivals.map { it.toDouble() }, capacity)
        val parts = simulation.answeredInTime.zip(fair) { got, part -> got / part }
        return parts.sum() * parts.sum() / (parts.size * parts.sumOf { it * it })
    }

    private fun maxMinShares(
        demands: List<Double>,
        capacity: Double,
    ): List<Double> {
        var left = capacity
        val shares = DoubleArray(demands.size)
        demands.withIndex().sortedBy { it.value }.forEachIndexed { place, (index, demand) ->
            shares[index] = minOf(demand, left / (demands.size - place))
            left -= shares[index]
        }
        return shares.toList()
    }

    private companion object {
        const val ORGANISATIONS = 10
        const val LARGE_ORGANISATIONS_SHARE = 0.8
        const val SLOTS = 32
        val SERVICE_TIME = 500.milliseconds
        val DEADLINE = 3.seconds
        val SIMULATED_TIME = 120.seconds
        val EXPIRY_INTERVAL = 10.milliseconds
        const val CAPACITY_PER_SECOND = SLOTS / 0.5
    }
}
