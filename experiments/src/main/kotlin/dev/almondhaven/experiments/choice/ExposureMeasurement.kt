package dev.almondhaven.experiments.choice

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.Price
import dev.almondhaven.catalogue.QualityPrior
import dev.almondhaven.catalogue.RollOut
import dev.almondhaven.catalogue.RollOutStep
import dev.almondhaven.decision.rollout.RollOutAssignment
import dev.almondhaven.experiments.ExperimentReport
import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelId
import dev.almondhaven.model.VersionId
import org.apache.commons.rng.simple.RandomSource

/** Counts the requests that run on a faulty version before every router has quarantined it. */
internal class ExposureMeasurement {
    private val stableVersion = version("1", 1)
    private val steps = listOf(RollOutStep(0.05, 20), RollOutStep(0.25, 20), RollOutStep(0.5, 20))
    private val newVersion =
        version("2", 2).copy(rollOut = RollOut(VersionId("1"), startedAt = START_MILLIS, steps = steps))
    private val healthy = FakeBehaviour()
    private val faults =
        listOf(
            "one answer in five is an error" to FakeBehaviour(errorRate = 0.2),
            SMALL_FAULT to FakeBehaviour(errorRate = 0.05),
            "four times as slow" to FakeBehaviour(millisecondsPerToken = 80.0),
            "quality 0.9 falls to 0.6" to FakeBehaviour(quality = 0.6),
        )

    fun run(report: ExperimentReport) {
        SIZES.forEach { size ->
            val rows = faults.flatMap { (fault, behaviour) -> rows(size, fault, behaviour) }
            val title = "Exposure, ${size.routers} routers, ${size.requestsPerSecond} requests/s"
            report.table("$title: bad from the start of its roll-out (first stage 5%)", COLUMNS, rows)
        }
        val inService =
            SIZES.flatMap { size ->
                faults.filterNot { it.first == SMALL_FAULT }.map { (fault, bad) -> inServiceRow(size, fault, bad) }
            }
        report.table("Exposure: turns bad in service with all of the traffic, 5% rated", IN_SERVICE_COLUMNS, inService)
    }

    private fun rows(
        size: FleetSize,
        fault: String,
        behaviour: FakeBehaviour,
    ): List<List<String>> {
        val byRatings = behaviour.quality < healthy.quality
        val shares = if (byRatings) listOf(0.01, 0.05, 0.2) else listOf(0.05)
        return shares.map { share ->
            val fleet = SimulatedFleet(size, Catalogue(models = listOf(stableVersion, newVersion)), share, random())
            val stopped = rollOut(fleet, behaviour)
            listOf(fault, if (byRatings) percent(share, 0) else "-") + result(size, fleet, stopped)
        }
    }

    private fun rollOut(
        fleet: SimulatedFleet,
        behaviour: FakeBehaviour,
    ): Int? =
        (0 until HOUR_SECONDS).firstOrNull { second ->
            val now = START_MILLIS + second * SECOND_MILLIS
            val share = RollOutAssignment.share(checkNotNull(newVersion.rollOut) { "no roll-out" }, now)
            fleet.simulateSecond(now, share, newVersion, behaviour, stableVersion, healthy)
            fleet.allStopped(newVersion)
        }

    private fun inServiceRow(
        size: FleetSize,
        fault: String,
        behaviour: FakeBehaviour,
    ): List<String> {
        val suspect = version("3", 1)
        val fleet = SimulatedFleet(size, Catalogue(models = listOf(stableVersion, suspect)), RATED_SHARE, random())
        val healthySeconds = HEALTHY_SECONDS
        repeat(healthySeconds) {
            val evaluate = it % HEALTHY_EVALUATION_INTERVAL_SECONDS == 0
            val now = START_MILLIS + it * SECOND_MILLIS
            fleet.simulateSecond(now, 1.0, suspect, healthy, stableVersion, healthy, evaluate)
        }
        check(!fleet.anyStopped(suspect)) { "a healthy version was quarantined" }
        val before = fleet.exposed
        val stopped =
            (0 until STOP_LIMIT_SECONDS).firstOrNull { second ->
                val now = START_MILLIS + (healthySeconds + second) * SECOND_MILLIS
                fleet.simulateSecond(now, 1.0, suspect, behaviour, stableVersion, healthy)
                fleet.allStopped(suspect)
            }
        val label = "${size.routers} routers, ${size.requestsPerSecond}/s"
        return listOf(label, fault) + result(size, fleet, stopped, before)
    }

    private fun result(
        size: FleetSize,
        fleet: SimulatedFleet,
        stopped: Int?,
        before: Long = 0,
    ): List<String> {
        val exposed = fleet.exposed - before
        val hour = size.requestsPerSecond.toDouble() * HOUR_SECONDS
        return listOf(stopped?.let { "${it + 1}" } ?: "not stopped", "$exposed", percent(exposed / hour, 3))
    }

    private fun percent(
        share: Double,
        digits: Int,
    ): String = ExperimentReport.number(100 * share, digits) + "%"

    private fun random() = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED)

    private fun version(
        name: String,
        definedIn: Long,
    ): ModelVersion =
        ModelVersion(
            ModelId("slate"),
            VersionId(name),
            price = Price(1.0, 3.0),
            quality = QualityPrior(0.9),
            definedIn = Generation(definedIn),
        )

    private companion object {
        const val SEED = 17L
        const val START_MILLIS = 1_800_000_000_000L
        const val SECOND_MILLIS = 1_000L
        const val HOUR_SECONDS = 3_600
        const val STOP_LIMIT_SECONDS = 600
        const val HEALTHY_SECONDS = 1_300
        const val HEALTHY_EVALUATION_INTERVAL_SECONDS = 10
        const val RATED_SHARE = 0.05
        val SIZES = listOf(FleetSize(5, 40), FleetSize(370, 4_200))
        const val SMALL_FAULT = "one answer in twenty is an error"
        val COLUMNS = listOf("fault", "rated", "stopped everywhere after s", "requests exposed", "of an hour's traffic")
        val IN_SERVICE_COLUMNS =
            listOf("fleet", "fault", "stopped everywhere after s", "requests exposed", "of an hour's traffic")
    }
}
