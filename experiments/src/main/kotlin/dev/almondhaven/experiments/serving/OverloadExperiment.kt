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

/** Goodput and fairness of the waiting queue under overload, against one unbounded queue in order of arrival. */
public class OverloadExperiment : Experiment {
    override val name: String get() = "overload"

    override val about: String get() = "Goodput and fairness of the waiting queue from 0.5 to 5 times the capacity."

    private class Load(
        val offered: Double,
        val fair: Boolean,
    ) {
        private val loop = VirtualTimeLoop()
        private val random = RandomSource.SPLIT_MIX_64.create(1L)
        private val queue = FairQueue<Long>()
        private val inOrder = ArrayDeque<QueuedRequest<Long>>()
        private var running = 0
        val good = IntArray(ORGANISATIONS)
        val arrivals = IntArray(ORGANISATIONS)
        var refused = 0
            private set
        var late = 0
            private set

        fun run(): Load {
            loop.after(Duration.ZERO) { arrive() }
            if (fair) loop.every(TICK) { queue.expired(loop.now).forEach { _ -> refused++ } }
            loop.runUntil(LENGTH)
            return this
        }

        private fun arrive() {
            // Two of ten organisations send eight tenths of everything.
            val large = random.nextDouble() < LARGE_SHARE
            val organisation = if (large) random.nextInt(2) else 2 + random.nextInt(ORGANISATIONS - 2)
            arrivals[organisation]++
            val latestStart = loop.now + (DEADLINE - RUN).inWholeNanoseconds
            val id = OrganisationId("$organisation")
            val request = QueuedRequest(loop.now, id, 1.0, 1.0, latestStart)
            if (!fair) {
                inOrder += request
            } else if (queue.offer(request, loop.now) is EnqueueResult.Refused) {
                refused++
            }
            serve()
            loop.after((-ln(1 - random.nextDouble()) / (offered * CAPACITY)).seconds) { arrive() }
        }

        private fun serve() {
            while (running < SLOTS) {
                val next = (if (fair) queue.poll(loop.now) else inOrder.removeFirstOrNull()) ?: return
                running++
                loop.after(RUN) { end(next) }
            }
        }

        private fun end(request: QueuedRequest<Long>) {
            running--
            val inTime = loop.now - request.value <= DEADLINE.inWholeNanoseconds
            if (inTime) good[request.organisation.value.toInt()]++ else late++
            serve()
        }
    }

    override fun run(report: ExperimentReport) {
        report.text(
            "$SLOTS slots, $RUN each, deadline $DEADLINE, ten organisations with equal shares of which two send " +
                "eight tenths of the requests; $LENGTH of virtual time, seed 1. Goodput counts answers within the deadline.",
        )
        val rows =
            listOf(0.5, 1.0, 2.0, 5.0).flatMap { offered ->
                listOf(false, true).map { fair -> row(offered, Load(offered, fair).run()) }
            }
        val columns = listOf("offered / capacity", "queue", "goodput / capacity", "late", "refused early", "Jain")
        report.table("Goodput against offered load", columns, rows)
    }

    private fun row(
        offered: Double,
        load: Load,
    ): List<String> {
        val goodput = load.good.sum() / (LENGTH.inWholeSeconds * CAPACITY)
        return listOf(
            number(offered, 1),
            if (load.fair) "fair, refuses early" else "in order, unbounded",
            number(goodput, 3),
            "${load.late}",
            "${load.refused}",
            number(jain(load), 3),
        )
    }

    /** Jain's index over what each organisation got of its max-min fair part. */
    private fun jain(load: Load): Double {
        val fair = maxMinShares(load.arrivals.map { it.toDouble() }, LENGTH.inWholeSeconds * CAPACITY)
        val parts = load.good.zip(fair) { got, part -> got / part }
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
        const val LARGE_SHARE = 0.8
        const val SLOTS = 32
        val RUN = 500.milliseconds
        val DEADLINE = 3.seconds
        val LENGTH = 120.seconds
        val TICK = 10.milliseconds
        const val CAPACITY = SLOTS / 0.5
    }
}
