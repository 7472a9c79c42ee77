package dev.almondhaven.router

import com.google.common.hash.Hashing
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import dev.almondhaven.catalogue.AllowedModel
import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.catalogue.EndpointChanges
import dev.almondhaven.catalogue.FailureDomain
import dev.almondhaven.catalogue.FailureDomainChanges
import dev.almondhaven.catalogue.ModelChanges
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.Organisation
import dev.almondhaven.catalogue.OrganisationChanges
import dev.almondhaven.catalogue.Price
import dev.almondhaven.catalogue.QualityPrior
import dev.almondhaven.catalogue.QualityTarget
import dev.almondhaven.catalogue.ReleaseNote
import dev.almondhaven.catalogue.Service
import dev.almondhaven.catalogue.ServiceCall
import dev.almondhaven.catalogue.ServiceChanges
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.ModelId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.NoteId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.RegionId
import dev.almondhaven.model.ServiceId
import dev.almondhaven.model.VersionId
import dev.almondhaven.platform.ConfigurationStore
import dev.almondhaven.platform.InMemoryObjectStore
import dev.almondhaven.platform.Publisher
import dev.almondhaven.router.settings.EndpointSettings
import dev.almondhaven.router.settings.PlatformSettings
import dev.almondhaven.router.settings.ProcessSettings
import dev.almondhaven.router.settings.RouterSettings
import dev.almondhaven.standins.EngineBehaviour
import dev.almondhaven.standins.EngineStandIn
import dev.almondhaven.standins.ServiceStandIn
import dev.almondhaven.standins.StandInServer
import java.util.concurrent.TimeUnit

/** One router before one engine and one service, all in this process, talking real HTTP on loopback. */
internal class TestDeployment(
    behaviour: EngineBehaviour = EngineBehaviour(),
    moreEngines: Int = 0,
    endpointSettings: EndpointSettings = EndpointSettings(),
) : AutoCloseable {
    val objects = InMemoryObjectStore()
    val engine = EngineStandIn(behaviour)
    val service = ServiceStandIn()
    val moreEngines = List(moreEngines) { EngineStandIn(behaviour) }
    private val moreEngineServers = this.moreEngines.map { more -> StandInServer.start { more.addTo(it) } }
    private val engineServer = StandInServer.start { engine.addTo(it) }
    private val serviceServer = StandInServer.start { service.addTo(it) }
    private val settings =
        RouterSettings(
            ProcessSettings(FailureDomainId("west"), "127.0.0.1:0"),
            PlatformSettings("http://127.0.0.1:1"),
            endpoints = endpointSettings,
        )
    val router = Router.start(settings, objects)
    val client: WebClient = WebClient.of("http://127.0.0.1:${router.port}")

    /** Publishes the note and waits until it is in force. */
    fun publish(note: ReleaseNote = firstNote()): TestDeployment {
        val publisher = Publisher("test", acceptedAt = 0, from = "test")
        val generation = ConfigurationStore(objects).publish(ConfigurationEntry.NotePublished(note), publisher)
        val expected = "almondhaven_configuration_generation ${generation.getOrNull()?.value?.toDouble()}"
        repeat(PATIENCE_STEPS) {
            if (expected in
                client
                    .get("/metrics")
                    .aggregate()
                    .join()
                    .contentUtf8()
            ) {
                return this
            }
            TimeUnit.MILLISECONDS.sleep(STEP_MILLIS)
        }
        error("generation $generation did not come in force")
    }

    fun firstNote(): ReleaseNote =
        ReleaseNote(
            NoteId("first"),
            "start",
            failureDomains =
                FailureDomainChanges(added = listOf(FailureDomain(FailureDomainId("west"), RegionId("wales")))),
            models =
                ModelChanges(
                    added =
                        listOf(
                            ModelVersion(
                                ModelId("slate"),
                                VersionId("1"),
                                price = Price(1.0, 2.0),
                                quality = QualityPrior(0.9),
                            ),
                        ),
                ),
            organisations =
                OrganisationChanges(
                    added =
                        listOf(
                            Organisation(
                                OrganisationId("roofers"),
                                listOf(digest(TOKEN)),
                                quality = QualityTarget(0.8),
                                models = listOf(AllowedModel(ModelId("slate"))),
                                services = listOf(ServiceId("orders")),
                            ),
                        ),
                ),
            services =
                ServiceChanges(
                    added =
                        listOf(
                            Service(ServiceId("orders"), listOf(ServiceCall("GET", "/stock", idempotent = true))),
                        ),
                ),
            endpoints =
                EndpointChanges(
                    added =
                        listOf(
                            Endpoint(
                                EndpointId("engine"),
                                FailureDomainId("west"),
                                engineServer.hostAndPort,
                                listOf(ModelVersionId.parse("slate@1")),
                            ),
                            Endpoint(
                                EndpointId("service"),
                                FailureDomainId("west"),
                                serviceServer.hostAndPort,
                                service = ServiceId("orders"),
                            ),
                        ) +
                            moreEngineServers.mapIndexed {
                                number,
                                server,
                                ->
                                engine("engine$number", server.hostAndPort)
                            },
                ),
        )

    /** An endpoint of the only version. */
    fun engine(
        id: String,
        address: String,
    ): Endpoint =
        Endpoint(
            EndpointId(id),
            FailureDomainId("west"),
            address,
            listOf(ModelVersionId.parse("slate@1")),
        )

    fun send(
        body: String,
        path: String = "/v1/chat/completions",
        method: HttpMethod = HttpMethod.POST,
        token: String = TOKEN,
    ): AggregatedHttpResponse {
        val headers =
            RequestHeaders
                .builder(method, path)
                .contentType(MediaType.JSON)
                .set("authorization", "Bearer $token")
                .build()
        return client.execute(headers, body).aggregate().join()
    }

    override fun close() {
        router.close()
        engineServer.close()
        moreEngineServers.forEach { it.close() }
        serviceServer.close()
    }

    companion object {
        const val TOKEN = "secret-token"
        private const val PATIENCE_STEPS = 1_000
        private const val STEP_MILLIS = 10L

        fun digest(token: String): String = Hashing.sha256().hashString(token, Charsets.UTF_8).toString()
    }
}
