package dev.almondhaven.experiments.deployment

import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.catalogue.EndpointChanges
import dev.almondhaven.catalogue.ReleaseNote
import dev.almondhaven.model.EndpointId
import dev.almondhaven.standins.EngineBehaviour
import dev.almondhaven.standins.EngineStandIn
import dev.almondhaven.standins.ServiceStandIn
import dev.almondhaven.standins.StandInServer
import kotlin.time.Duration.Companion.milliseconds

/** Simulated endpoints for a whole deployment, each on a free loopback port. */
public class StandInFleet private constructor() : AutoCloseable {
    private val engineStandIns = LinkedHashMap<EndpointId, EngineStandIn>()
    private val serviceStandIns = LinkedHashMap<EndpointId, ServiceStandIn>()
    private val servers = LinkedHashMap<EndpointId, StandInServer>()

    /** Simulated model engines by endpoint. */
    public val engines: Map<EndpointId, EngineStandIn> get() = engineStandIns

    /** Simulated plain services by endpoint. */
    public val services: Map<EndpointId, ServiceStandIn> get() = serviceStandIns

    /** A copy of [note] with the addresses at which the simulated endpoints listen. */
    public fun withAddresses(note: ReleaseNote): ReleaseNote =
        note.copy(
            endpoints =
                EndpointChanges(
                    note.endpoints.added.map { relocated(it) },
                    note.endpoints.changed.map { relocated(it) },
                    note.endpoints.withdrawn,
                ),
        )

    private fun relocated(endpoint: Endpoint): Endpoint =
        endpoint.copy(address = servers.getValue(endpoint.id).hostAndPort)

    private fun add(endpoint: Endpoint) {
        if (endpoint.service == null) addEngine(endpoint) else addService(endpoint)
    }

    private fun addEngine(endpoint: Endpoint) {
        val engine = EngineStandIn(BEHAVIOUR, endpoint.slots)
        engineStandIns[endpoint.id] = engine
        servers[endpoint.id] = StandInServer.start { engine.addTo(it) }
    }

    private fun addService(endpoint: Endpoint) {
        val service = ServiceStandIn()
        serviceStandIns[endpoint.id] = service
        servers[endpoint.id] = StandInServer.start { service.addTo(it) }
    }

    override fun close(): Unit = servers.values.forEach { it.close() }

    public companion object {
        /** Latencies of the engines without faults. */
        public val BEHAVIOUR: EngineBehaviour =
            EngineBehaviour(timeToFirstToken = 20.milliseconds, interTokenDelay = 4.milliseconds)

        /** Starts a simulated endpoint for every endpoint that [note] adds. */
        public fun start(note: ReleaseNote): StandInFleet =
            StandInFleet().apply { note.endpoints.added.forEach { add(it) } }
    }
}
