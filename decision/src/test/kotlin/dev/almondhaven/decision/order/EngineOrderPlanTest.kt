package dev.almondhaven.decision.order

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.Price
import dev.almondhaven.catalogue.QualityPrior
import dev.almondhaven.catalogue.VersionState
import dev.almondhaven.engine.EngineReport
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.ModelVersionId
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

class EngineOrderPlanTest {
    private val old = ModelVersionId.parse("slate@1")
    private val new = ModelVersionId.parse("slate@2")

    private fun engine(
        name: String,
        vararg versions: ModelVersionId,
    ) = Endpoint(EndpointId(name), FailureDomainId("west"), "10.0.0.1:1", versions.toList())

    private fun model(
        id: ModelVersionId,
        state: VersionState = VersionState.ACTIVE,
    ) = ModelVersion(id.model, id.version, state, Price(1.0, 1.0), QualityPrior(0.9))

    private fun orders(
        catalogue: Catalogue,
        loads: Int = 9,
        vararg reports: Pair<String, EngineReport>,
    ): Map<String, List<ModelVersionId>> =
        EngineOrderPlan(catalogue, reports.associate { EndpointId(it.first) to it.second })
            .orders(catalogue.endpoints, loads)
            .associate { it.endpoint.id.value to it.versions }

    private fun warm(vararg versions: ModelVersionId) = EngineReport(versions.toList(), versions.toList())

    @Nested
    inner class `a roll-out` {
        private val catalogue =
            Catalogue(models = listOf(model(old), model(new)), endpoints = listOf(engine("a", old), engine("b", new)))

        @Test
        fun `loads the new version before it unloads the old one`() {
            val steps =
                listOf(
                    orders(catalogue, 9, "a" to warm(), "b" to warm(old)),
                    orders(catalogue, 9, "a" to EngineReport(listOf(old)), "b" to warm(old, new)),
                    orders(catalogue, 9, "a" to warm(old), "b" to warm(old, new)),
                    orders(catalogue, 9, "a" to warm(old), "b" to warm(new)),
                )

            expectThat(steps).isEqualTo(
                listOf(
                    mapOf("a" to listOf(old), "b" to listOf(old, new)),
                    emptyMap(),
                    mapOf("b" to listOf(new)),
                    emptyMap(),
                ),
            )
        }

        @Test
        fun `gives an endpoint that doesn't report no order`() {
            expectThat(orders(catalogue, 9, "b" to warm(new))).isEqualTo(emptyMap())
        }

        @Test
        fun `loads no more than allowed`() {
            expectThat(orders(catalogue, 1, "a" to warm(), "b" to warm())).isEqualTo(mapOf("a" to listOf(old)))
        }
    }

    @Test
    fun `a withdrawn version is unloaded even from its last endpoint`() {
        val catalogue =
            Catalogue(models = listOf(model(old, VersionState.WITHDRAWN)), endpoints = listOf(engine("a", old)))

        expectThat(orders(catalogue, 9, "a" to warm(old))).isEqualTo(mapOf("a" to emptyList()))
    }

    /** Engines that take orders late or never, load after a while, and lose everything now and then. */
    private class Engines(
        private val random: Random,
        names: List<EndpointId>,
    ) {
        val reports = names.associateWith { EngineReport() }.toMutableMap()

        fun take(order: PlannedOrder) {
            if (random.nextInt(4) == 0) return
            val loaded = reports.getValue(order.endpoint.id).loaded.filter { it in order.versions }
            reports[order.endpoint.id] = EngineReport(order.versions, loaded)
        }

        fun work() {
            reports.replaceAll {
                _,
                report,
                ->
                if (random.nextBoolean()) EngineReport(report.desired, report.desired) else report
            }
        }

        fun warm(version: ModelVersionId): Int = reports.values.count { version in it.loaded }
    }

    @Test
    fun `orders never take a version's last warm endpoint, and reach what the catalogue says`() {
        runBlocking {
            checkAll(PropTestConfig(seed = 75, iterations = 500), Arb.long()) { seed ->
                val random = Random(seed)
                val versions = List(3) { ModelVersionId.parse("slate@$it") }
                val names = List(4) { "engine-$it" }
                val engines = Engines(random, names.map { EndpointId(it) })
                repeat(4) {
                    val spread = names.map { engine(it, versions[random.nextInt(3)], versions[random.nextInt(3)]) }
                    val endpoints = spread.map { it.copy(versions = it.versions.distinct()) }
                    val catalogue = Catalogue(models = versions.map { model(it) }, endpoints = endpoints)
                    val rounds = generateSequence { step(catalogue, engines) }.take(ROUNDS).toList()
                    expectThat(rounds.max()).isLessThanOrEqualTo(1)
                    endpoints.flatMap { it.versions }.forEach { expectThat(engines.warm(it)).isGreaterThan(0) }
                }
            }
        }
    }

    /** Plans and gives orders once; returns the number of loads, and fails if a warm version turned cold. */
    private fun step(
        catalogue: Catalogue,
        engines: Engines,
    ): Int {
        val before = catalogue.models.filter { engines.warm(it.id) > 0 }
        val orders = EngineOrderPlan(catalogue, engines.reports.toMap()).orders(catalogue.endpoints, loads = 1)
        orders.forEach { engines.take(it) }
        before.forEach { expectThat(engines.warm(it.id)).isGreaterThan(0) }
        engines.work()
        return orders.count { it.startsLoad }
    }

    private companion object {
        const val ROUNDS = 80
    }
}
