package dev.almondhaven.experiments.deployment

import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.catalogue.Organisation
import dev.almondhaven.catalogue.ReleaseNote
import dev.almondhaven.decision.billing.BillingStatement
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.NoteId
import dev.almondhaven.standins.EngineFault
import dev.almondhaven.standins.EngineStandIn
import dev.almondhaven.standins.ObjectStoreServer
import dev.almondhaven.standins.StandInServer
import dev.almondhaven.store.BillingStore
import dev.almondhaven.store.ConfigurationStore
import dev.almondhaven.store.FaultyObjectStore
import dev.almondhaven.store.InMemoryObjectStore
import dev.almondhaven.store.Publisher
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A sample deployment on loopback: simulated endpoints, routers, a load balancer and callers. */
public class DeploymentBench private constructor(
    public val sample: SampleDeployment,
    private val starter: RouterStarter,
    private val seed: Long,
    private val entryDomains: List<FailureDomainId>,
) : AutoCloseable {
    private val stored = InMemoryObjectStore()

    /** The platform's object API, with fault injection, as the routers see it. */
    public val objects: FaultyObjectStore = FaultyObjectStore(stored, seed)

    /** The simulated endpoints. */
    public val fleet: StandInFleet = StandInFleet.start(sample.initialNote)

    private val objectServer = StandInServer.start { ObjectStoreServer(objects).addTo(it) }
    private val settings = RouterSettingsFactory(sample, objectServer.address)
    private val configuration = ConfigurationStore(stored)
    private val balancer = Balancer()
    private val calls = ConcurrentLinkedQueue<CallRecord>()
    private val routerInstances = mutableListOf<RouterInstance>()
    private val killed = mutableSetOf<String>()
    private val outages = mutableListOf<DomainOutage>()
    private val withdrawals = mutableListOf<WithdrawnVersion>()
    private var callers = emptyList<Thread>()

    @Volatile
    private var callersActive = true

    private fun start() {
        publish(sample.initialNote)
        entryDomains.forEach { routerInstances += starter.start(settings.create(it)) }
        balancer.start()
        refreshBalancer()
        check(balancer.awaitReady(routerInstances.size, READY_TIMEOUT)) {
            "routers of ${sample.name} did not become ready within $READY_TIMEOUT"
        }
    }

    /** Publishes [note] with the simulated endpoints' addresses; returns the epoch milliseconds of its acceptance. */
    public fun publish(note: ReleaseNote): Long {
        accept(ConfigurationEntry.NotePublished(fleet.withAddresses(note)))
        val at = System.currentTimeMillis()
        note.models.withdrawn.forEach { withdrawals += WithdrawnVersion(ModelVersionId(it.model, it.version), at) }
        return at
    }

    /** Takes [domain] out of service. */
    public fun takeOutOfService(domain: FailureDomainId) {
        accept(ConfigurationEntry.DomainTakenOut(NoteId("out-$domain-${System.nanoTime()}"), "maintenance", domain))
        outages += DomainOutage(domain, System.currentTimeMillis(), Long.MAX_VALUE)
    }

    /** Returns [domain] to service. */
    public fun returnToService(domain: FailureDomainId) {
        val open = outages.removeAt(outages.indexOfLast { it.domain == domain })
        outages += open.copy(until = System.currentTimeMillis())
        accept(ConfigurationEntry.DomainReturned(NoteId("back-$domain-${System.nanoTime()}"), "maintenance", domain))
    }

    private fun accept(entry: ConfigurationEntry) {
        configuration.publish(entry, publisher()).onLeft { error("${entry.id} was not accepted: $it") }
    }

    /** Publishes both entries concurrently from separate threads; returns for each whether it was accepted. */
    public fun publishConcurrently(
        first: ConfigurationEntry,
        second: ConfigurationEntry,
    ): List<Boolean> {
        val results = ConcurrentLinkedQueue<Boolean>()
        val publishers =
            listOf(first, second).map { entry ->
                Thread { results += ConfigurationStore(stored).publish(entry, publisher()).isRight() }
            }
        publishers.forEach { it.start() }
        publishers.forEach { it.join() }
        return results.toList()
    }

    private fun publisher() = Publisher("bench", System.currentTimeMillis(), host = "loopback")

    /** Starts [count] callers, distributed over the organisations in proportion to their shares. */
    public fun startCallers(count: Int) {
        val organisations = repeatedByShare(sample.initialNote.organisations.added)
        callers =
            List(count) { index ->
                val organisation = organisations[index % organisations.size]
                val caller = Caller(organisation, servicePaths(), balancer, Random(seed + index), calls::add)
                Thread({ callUntilEnd(caller) }, "caller-$index").apply { isDaemon = true }
            }
        callers.forEach { it.start() }
    }

    private fun repeatedByShare(organisations: List<Organisation>): List<Organisation> =
        organisations.flatMap { organisation -> List(organisation.share.toInt()) { organisation } }

    private fun callUntilEnd(caller: Caller) {
        while (callersActive) {
            caller.callOnce()
            TimeUnit.MILLISECONDS.sleep(THINK_TIME.inWholeMilliseconds)
        }
    }

    private fun servicePaths(): ServicePaths {
        val service =
            sample.initialNote.services.added
                .single()
        val lookup = service.calls.first { it.idempotent }
        val order = service.calls.first { !it.idempotent }
        return ServicePaths("/services/${service.id}${lookup.path}", "/services/${service.id}${order.path}")
    }

    /** Kills the router at [index] without warning. */
    public fun killRouter(index: Int) {
        killed += routerInstances[index].address
        routerInstances[index].kill()
    }

    /** Starts a new router in the failure domain of the stopped one at [index] and takes its place. */
    public fun replaceRouter(index: Int) {
        routerInstances[index] = starter.start(settings.create(routerInstances[index].settings.process.failureDomain))
        refreshBalancer()
    }

    /** Shuts the router at [index] down gracefully and starts a new one in its place. */
    public fun restartRouter(index: Int) {
        routerInstances[index].stop()
        replaceRouter(index)
    }

    /** Addresses at which the routers accept requests of callers. */
    public fun addresses(): List<String> = routerInstances.map { it.address }

    /** The routers' processes. */
    public fun processes(): List<ProcessHandle> = routerInstances.map { it.process }

    /** Restarts the engine at [index] with an empty cache and without notice. */
    public fun restartEngineCold(index: Int): Unit = engine(index).restart()

    /** Makes the engine at [index] accept requests without ever responding. */
    public fun hangEngine(index: Int) {
        engine(index).behaviour = StandInFleet.BEHAVIOUR.copy(fault = EngineFault.SILENT)
    }

    /** Makes the engine at [index] respond again. */
    public fun recoverEngine(index: Int) {
        engine(index).behaviour = StandInFleet.BEHAVIOUR
    }

    /** Makes every engine respond to requests for [version] with errors. */
    public fun failVersion(version: ModelVersionId): Unit =
        fleet.engines.values.forEach { it.failingVersions = setOf(version) }

    /** Reverts [failVersion]. */
    public fun recoverVersions(): Unit = fleet.engines.values.forEach { it.failingVersions = emptySet() }

    private fun engine(index: Int): EngineStandIn = fleet.engines.values.toList()[index]

    private fun refreshBalancer(): Unit = balancer.setAddresses(routerInstances.map { it.address })

    /** Stops the callers, waits until the routers have written their billing records, and collects the observations. */
    public fun finish(): Observations {
        callersActive = false
        callers.forEach { it.join(CALLER_JOIN_TIMEOUT.inWholeMilliseconds) }
        TimeUnit.MILLISECONDS.sleep(BILLING_FLUSH_WAIT.inWholeMilliseconds)
        return Observations(
            calls.toList(),
            fleet.engines.flatMap { (id, engine) -> engine.records.map { ObservedRun(id, it) } },
            fleet.services.flatMap { (id, service) -> service.records.map { ObservedRun(id, it) } },
            bills(),
            killed,
            outages,
            withdrawals,
            configuration.head().fold({ error("$it") }, { checkNotNull(it) { "no head" }.head.catalogue }),
        )
    }

    private fun bills(): List<ObservedBill> {
        val objects = BillingStore(stored).readAll().fold({ error("$it") }, { it })
        return BillingStatement.of(objects.asSequence()).records.map {
            ObservedBill(it.request.value, it.organisation.value)
        }
    }

    override fun close() {
        callersActive = false
        routerInstances.map { unit -> Thread { unit.stop() }.apply { start() } }.forEach { it.join() }
        balancer.close()
        fleet.close()
        objectServer.close()
    }

    public companion object {
        private val READY_TIMEOUT = 60.seconds
        private val CALLER_JOIN_TIMEOUT = 60.seconds
        private val BILLING_FLUSH_WAIT: Duration = 12.seconds
        private val THINK_TIME = 20.milliseconds

        /** Starts [sample] with routers from [starter] and waits until they are ready. */
        public fun start(
            sample: SampleDeployment,
            starter: RouterStarter,
            seed: Long,
            routers: Int = sample.entryDomains.size,
        ): DeploymentBench {
            val domains = List(routers) { sample.entryDomains[it % sample.entryDomains.size] }
            return DeploymentBench(sample, starter, seed, domains).also { it.start() }
        }
    }
}
