package dev.almondhaven.router.order

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.Price
import dev.almondhaven.catalogue.QualityPrior
import dev.almondhaven.decision.lease.LeaseSettings
import dev.almondhaven.decision.membership.FleetView
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.engine.EngineReport
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.RouterId
import dev.almondhaven.router.controller.CatalogueHolder
import dev.almondhaven.router.settings.EngineOrderSettings
import dev.almondhaven.standins.EngineLoadStandIn
import dev.almondhaven.standins.StandInServer
import dev.almondhaven.store.FaultyObjectStore
import dev.almondhaven.store.InMemoryObjectStore
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestMethodOrder
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs controllers against one engine over HTTP, with a clock that the test advances. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
class EngineOrderControllerTest {
    private val domain = FailureDomainId("west")
    private val oldVersion = ModelVersionId.parse("slate@1")
    private val newVersion = ModelVersionId.parse("slate@2")
    private val engine = EngineLoadStandIn(honoursFencing = false)
    private val server = StandInServer.start { engine.addTo(it) }
    private val objects = FaultyObjectStore(InMemoryObjectStore(), seed = 1)
    private val holder = CatalogueHolder()
    private val controllers = mutableListOf<EngineOrderController>()
    private val settings = EngineOrderSettings(true, 10.milliseconds, loadsPerMinute = 60_000.0)
    private val leaseSettings = LeaseSettings()
    private val nanos = AtomicLong()
    private val clock = NanoClock { nanos.get() }

    private fun startController(name: String): EngineOrderController {
        val view = FleetView.ofSelf(Member(RouterId(name), domain, "127.0.0.1:1"))
        val controller = EngineOrderController(settings, holder, view, objects, clock, leaseSettings)
        controllers += controller
        controller.start()
        return controller
    }

    private fun publish(
        generation: Long,
        vararg versions: ModelVersionId,
    ) {
        val models =
            versions.map { ModelVersion(it.model, it.version, price = Price(1.0, 1.0), quality = QualityPrior(0.9)) }
        val endpoint = Endpoint(EndpointId("engine"), domain, server.hostAndPort, versions.toList())
        holder.offer(Catalogue(Generation(generation), models = models, endpoints = listOf(endpoint)))
    }

    private fun advanceClock(duration: Duration) {
        nanos.addAndGet(duration.inWholeNanoseconds)
    }

    /** Waits until [condition] is true, and advances the clock by [step] before each further check. */
    private fun eventually(
        step: Duration = 5.milliseconds,
        condition: () -> Boolean,
    ) {
        repeat(MAX_POLLS) {
            if (condition()) return
            advanceClock(step)
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS)
        }
        error("the condition was not met: ${engine.report()} ${engine.orders}")
    }

    @AfterEach
    fun stopControllers() {
        controllers.forEach { it.close() }
        controllers.clear()
    }

    @AfterAll
    fun closeServer() {
        server.close()
    }

    @Test
    @Order(1)
    fun `one controller at a time makes the engine load the published versions, and its successor continues`() {
        publish(1, oldVersion)
        val first = startController("first")
        eventually { engine.report() == EngineReport(listOf(oldVersion), listOf(oldVersion)) }
        val second = startController("second")
        publish(2, oldVersion, newVersion)
        eventually { engine.report().loaded == listOf(oldVersion, newVersion) }
        expectThat(engine.orders.map { it.fencing }.distinct()).isEqualTo(listOf(1L))

        first.close()
        publish(3, newVersion)
        eventually(step = 1.seconds) { engine.report().loaded == listOf(newVersion) }
        expectThat(engine.orders.last().fencing).isGreaterThan(1)
        second.close()
    }

    @Test
    @Order(2)
    fun `a controller that can't renew its lease sends no more orders`() {
        publish(11, oldVersion)
        startController("only")
        eventually(step = 1.seconds) { engine.report().loaded == listOf(oldVersion) }
        objects.outage = true
        advanceClock(leaseSettings.term)
        val ordersBefore = engine.orders
        publish(12, oldVersion, newVersion)
        TimeUnit.MILLISECONDS.sleep(OBSERVATION_MILLIS)

        expectThat(engine.orders).isEqualTo(ordersBefore)
        objects.outage = false
    }

    private companion object {
        const val MAX_POLLS = 500
        const val POLL_INTERVAL_MILLIS = 20L
        const val OBSERVATION_MILLIS = 200L
    }
}
