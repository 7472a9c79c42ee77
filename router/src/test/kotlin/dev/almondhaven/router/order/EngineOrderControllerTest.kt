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

/** Controllers before one engine over real HTTP, with a clock that the test moves. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
class EngineOrderControllerTest {
    private val domain = FailureDomainId("west")
    private val old = ModelVersionId.parse("slate@1")
    private val new = ModelVersionId.parse("slate@2")
    private val engine = EngineLoadStandIn(honoursFencing = false)
    private val server = StandInServer.start { engine.addTo(it) }
    private val objects = FaultyObjectStore(InMemoryObjectStore(), seed = 1)
    private val holder = CatalogueHolder()
    private val running = mutableListOf<EngineOrderController>()
    private val settings = EngineOrderSettings(true, 10.milliseconds, loadsPerMinute = 60_000.0)
    private val lease = LeaseSettings()
    private val nanos = AtomicLong()
    private val clock = NanoClock { nanos.get() }

    private fun start(name: String): EngineOrderController {
        val view = FleetView.ofSelf(Member(RouterId(name), domain, "127.0.0.1:1"))
        val controller = EngineOrderController(settings, holder, view, objects, clock, lease)
        running += controller
        controller.start()
        return controller
    }

    private fun want(
        generation: Long,
        vararg versions: ModelVersionId,
    ) {
        val models =
            versions.map { ModelVersion(it.model, it.version, price = Price(1.0, 1.0), quality = QualityPrior(0.9)) }
        val endpoint = Endpoint(EndpointId("engine"), domain, server.hostAndPort, versions.toList())
        holder.offer(Catalogue(Generation(generation), models = models, endpoints = listOf(endpoint)))
    }

    private fun pass(span: Duration) {
        nanos.addAndGet(span.inWholeNanoseconds)
    }

    /** Waits until [holds], while the clock goes on by [step] for each look. */
    private fun eventually(
        step: Duration = 5.milliseconds,
        holds: () -> Boolean,
    ) {
        repeat(PATIENCE_STEPS) {
            if (holds()) return
            pass(step)
            TimeUnit.MILLISECONDS.sleep(STEP_MILLIS)
        }
        error("did not happen: ${engine.report()} ${engine.orders}")
    }

    @AfterEach
    fun stopControllers() {
        running.forEach { it.close() }
        running.clear()
    }

    @AfterAll
    fun stop() {
        server.close()
    }

    @Test
    @Order(1)
    fun `one controller at a time brings the engine to what the notes say, and its successor goes on`() {
        want(1, old)
        val first = start("first")
        eventually { engine.report() == EngineReport(listOf(old), listOf(old)) }
        val second = start("second")
        want(2, old, new)
        eventually { engine.report().loaded == listOf(old, new) }
        expectThat(engine.orders.map { it.fencing }.distinct()).isEqualTo(listOf(1L))

        first.close()
        want(3, new)
        eventually(step = 1.seconds) { engine.report().loaded == listOf(new) }
        expectThat(engine.orders.last().fencing).isGreaterThan(1)
        second.close()
    }

    @Test
    @Order(2)
    fun `a controller that can't renew its lease gives no more orders`() {
        want(11, old)
        start("only")
        eventually(step = 1.seconds) { engine.report().loaded == listOf(old) }
        objects.outage = true
        pass(lease.term)
        val before = engine.orders
        want(12, old, new)
        TimeUnit.MILLISECONDS.sleep(QUIET_MILLIS)

        expectThat(engine.orders).isEqualTo(before)
        objects.outage = false
    }

    private companion object {
        const val PATIENCE_STEPS = 500
        const val STEP_MILLIS = 20L
        const val QUIET_MILLIS = 200L
    }
}
