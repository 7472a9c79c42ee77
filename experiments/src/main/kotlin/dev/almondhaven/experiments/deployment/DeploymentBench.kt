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

/** A sample deployment on loopback: stand-ins, five routers, a balancer and callers that go on until it is closed. */
public class DeploymentBench private constructor(
    public val sample: SampleDeployment,
    private val starter: RouterStarter,
    private val seed: Long,
    private val entryDomains: List<FailureDomainId>,
) : AutoCloseable {
    private val stored = InMemoryObjectStore()

    /** The platform's object API as the routers see it. */
    public val objects: FaultyObjectStore = FaultyObjectStore(stored, seed)

    /** The endpoints. */
    public val fleet: StandInFleet = StandInFleet.start(sample.first)

    private val objectServer = StandInServer.start { ObjectStoreServer(objects).addTo(it) }
    private val settings = RouterSettingsFactory(sample, objectServer.address)
    private val configuration = ConfigurationStore(stored)
    private val balancer = Balancer()
    private val calls = ConcurrentLinkedQueue<CallRecord>()
    private val units = mutableListOf<RouterUnit>()
    private val killed = mutableSetOf<String>()
    private val outages = mutableListOf<DomainOutage>()
    private val withdrawals = mutableListOf<WithdrawnVersion>()
    private var callers = emptyList<Thread>()

    @Volatile
    private var calling = true

    private fun start() {
        publish(sample.first)
        entryDomains.forEach { units += starter.start(settings.create(it)) }
        balancer.start()
        refreshBalancer()
        check(balancer.awaitReady(units.size, READY_PATIENCE)) { "routers of ${sample.name} did not become ready" }
    }

    /** Publishes [note] with the stand-ins' addresses; returns when it was accepted, in epoch milliseconds. */
    public fun publish(note: ReleaseNote): Long {
        accept(ConfigurationEntry.NotePublished(fleet.withAddresses(note)))
        val at = System.currentTimeMillis()
        note.models.withdrawn.forEach { withdrawals += WithdrawnVersion(ModelVersionId(it.model, it.version), at) }
        return at
    }

    /** Takes [domain] out of service. */
    public fun takeOut(domain: FailureDomainId) {
        accept(ConfigurationEntry.DomainTakenOut(NoteId("out-$domain-${System.nanoTime()}"), "maintenance", domain))
        outages += DomainOutage(domain, System.currentTimeMillis(), Long.MAX_VALUE)
    }

    /** Brings [domain] back. */
    public fun bringBack(domain: FailureDomainId) {
        val open = outages.removeAt(outages.indexOfLast { it.domain == domain })
        outages += open.copy(until = System.currentTimeMillis())
        accept(ConfigurationEntry.DomainReturned(NoteId("back-$domain-${System.nanoTime()}"), "maintenance", domain))
    }

    private fun accept(entry: ConfigurationEntry) {
        configuration.publish(entry, publisher()).onLeft { error("${entry.id} was not accepted: $it") }
    }

    /** Publishes both entries at once, each on the head that it read before the other one wrote. */
    public fun race(
        first: ConfigurationEntry,
        second: ConfigurationEntry,
    ): List<Boolean> {
        val results = ConcurrentLinkedQueue<Boolean>()
        val racers =
            listOf(first, second).map { entry ->
                Thread { results += ConfigurationStore(stored).publish(entry, publisher()).isRight() }
            }
        racers.forEach { it.start() }
        racers.forEach { it.join() }
        return results.toList()
    }

    private fun publisher() = Publisher("bench", System.currentTimeMillis(), host = "loopback")

    /** Starts [count] callers, spread over the organisations by their shares. */
    public fun startCallers(count: Int) {
        val organisations = weighted(sample.first.organisations.added)
        callers =
            List(count) { index ->
                val organisation = organisations[index % organisations.size]
                val caller = Caller(organisation, servicePaths(), balancer, Random(seed + index), calls::add)
                Thread({ callUntilEnd(caller) }, "caller-$index").apply { isDaemon = true }
            }
        callers.forEach { it.start() }
    }

    private fun weighted(organisations: List<Organisation>): List<Organisation> =
        organisations.flatMap { organisation -> List(organisation.share.toInt()) { organisation } }

    private fun callUntilEnd(caller: Caller) {
        while (calling) {
            caller.callOnce()
            TimeUnit.MILLISECONDS.sleep(THINK_TIME.inWholeMilliseconds)
        }
    }

    private fun servicePaths(): ServicePaths {
        val service =
            sample.first.services.added
                .single()
        val lookup = service.calls.first { it.idempotent }
        val order = service.calls.first { !it.idempotent }
        return ServicePaths("/services/${service.id}${lookup.path}", "/services/${service.id}${order.path}")
    }

    /** Kills the router at [index] without warning. */
    public fun killRouter(index: Int) {
        killed += units[index].address
        units[index].kill()
    }

    /** Starts a fresh router in the place of the killed one at [index]. */
    public fun replaceRouter(index: Int) {
        units[index] = starter.start(settings.create(units[index].settings.process.failureDomain))
        refreshBalancer()
    }

    /** Stops the router at [index] as planned and starts a fresh one in its place. */
    public fun restartRouter(index: Int) {
        units[index].stop()
        replaceRouter(index)
    }

    /** Addresses of the routers for callers. */
    public fun addresses(): List<String> = units.map { it.address }

    /** The routers' processes. */
    public fun processes(): List<ProcessHandle> = units.map { it.process }

    /** Lets the engine at [index] restart with an empty cache, as nobody announced. */
    public fun restartEngineCold(index: Int): Unit = engine(index).restart()

    /** Lets the engine at [index] take requests and never answer. */
    public fun silenceEngine(index: Int) {
        engine(index).behaviour = StandInFleet.BEHAVIOUR.copy(fault = EngineFault.SILENT)
    }

    /** Lets the engine at [index] answer again. */
    public fun healEngine(index: Int) {
        engine(index).behaviour = StandInFleet.BEHAVIOUR
    }

    /** Lets every engine answer requests for [version] with errors. */
    public fun spoilVersion(version: ModelVersionId): Unit =
        fleet.engines.values.forEach { it.failingVersions = setOf(version) }

    /** Ends what [spoilVersion] began. */
    public fun healVersions(): Unit = fleet.engines.values.forEach { it.failingVersions = emptySet() }

    private fun engine(index: Int): EngineStandIn = fleet.engines.values.toList()[index]

    private fun refreshBalancer(): Unit = balancer.setAddresses(units.map { it.address })

    /** Ends the callers, waits for billing and returns everything that was seen. */
    public fun finish(): Observations {
        calling = false
        callers.forEach { it.join(CALLER_PATIENCE.inWholeMilliseconds) }
        TimeUnit.MILLISECONDS.sleep(BILLING_PATIENCE.inWholeMilliseconds)
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
        calling = false
        units.map { unit -> Thread { unit.stop() }.apply { start() } }.forEach { it.join() }
        balancer.close()
        fleet.close()
        objectServer.close()
    }

    public companion object {
        private val READY_PATIENCE = 60.seconds
        private val CALLER_PATIENCE = 60.seconds
        private val BILLING_PATIENCE: Duration = 12.seconds
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
