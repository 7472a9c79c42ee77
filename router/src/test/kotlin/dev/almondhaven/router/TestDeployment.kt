package dev.almondhaven.router

import com.google.common.hash.Hashing
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.RequestHeadersBuilder
import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.catalogue.OrganisationBuilder
import dev.almondhaven.catalogue.ReleaseNote
import dev.almondhaven.catalogue.releaseNote
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.router.settings.DrainSettings
import dev.almondhaven.router.settings.EndpointSettings
import dev.almondhaven.router.settings.PeerSettings
import dev.almondhaven.router.settings.PlatformSettings
import dev.almondhaven.router.settings.ProcessSettings
import dev.almondhaven.router.settings.RouterSettings
import dev.almondhaven.router.settings.SessionKeySetting
import dev.almondhaven.router.settings.SessionSettings
import dev.almondhaven.standins.EngineBehaviour
import dev.almondhaven.standins.EngineStandIn
import dev.almondhaven.standins.ServiceStandIn
import dev.almondhaven.standins.StandInServer
import dev.almondhaven.store.ConfigurationStore
import dev.almondhaven.store.InMemoryObjectStore
import dev.almondhaven.store.ObjectStore
import dev.almondhaven.store.Publisher
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/** A router, a model engine and a plain service in this process, connected by HTTP over loopback. */
internal class TestDeployment(
    behaviour: EngineBehaviour = EngineBehaviour(),
    extraEngineCount: Int = 0,
    endpointSettings: EndpointSettings = EndpointSettings(),
    peerSettings: PeerSettings? = null,
    wrapObjects: (ObjectStore) -> ObjectStore = { it },
) : AutoCloseable {
    val objects = InMemoryObjectStore()
    val engine = EngineStandIn(behaviour)
    val service = ServiceStandIn()

    /** Address of the engine, as `ip:port`. */
    val engineAddress: String get() = engineServer.hostAndPort
    val extraEngines = List(extraEngineCount) { EngineStandIn(behaviour) }
    private val extraEngineServers = extraEngines.map { extra -> StandInServer.start { extra.addTo(it) } }
    private val engineServer = StandInServer.start { engine.addTo(it) }
    private val serviceServer = StandInServer.start { service.addTo(it) }
    private val settings =
        RouterSettings(
            ProcessSettings(FailureDomainId("west"), "127.0.0.1:0"),
            PlatformSettings("http://127.0.0.1:1"),
            sessions = SessionSettings(keys = listOf(SessionKeySetting("test", "x".repeat(32)))),
            endpoints = endpointSettings,
            drain = DrainSettings(balancerDelay = 200.milliseconds),
            peers = peerSettings,
        )
    val router = Router.start(settings, wrapObjects(objects))
    val client: WebClient = WebClient.of("http://127.0.0.1:${router.port}")

    /** Publishes [note] and waits until the router has applied it. */
    fun publish(note: ReleaseNote = firstNote()): TestDeployment = publish(ConfigurationEntry.NotePublished(note))

    /** Publishes [entry] and waits until the router has applied it. */
    fun publish(entry: ConfigurationEntry): TestDeployment {
        val publisher = Publisher("test", acceptedAt = 0, host = "test")
        val accepted = ConfigurationStore(objects).publish(entry, publisher)
        val generation = accepted.fold({ error("not accepted: $it") }, { it.generation })
        val expected = "almondhaven_configuration_generation ${generation.value.toDouble()}"
        repeat(MAX_POLLS) {
            if (expected in get("/metrics").contentUtf8()) return this
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS)
        }
        error("the router did not apply generation $generation in time")
    }

    fun get(path: String): AggregatedHttpResponse = client.get(path).aggregate().join()

    fun firstNote(): ReleaseNote =
        releaseNote("first", reason = "start") {
            failureDomain("west", region = "wales")
            model("slate", "1") {
                price(input = 1.0, output = 2.0)
                quality(0.9)
            }
            organisation("roofers") {
                roofers()
                allow("slate")
            }
            service("orders") { call("GET", "/stock", idempotent = true) }
            engine("engine", "west", engineServer.hostAndPort, "slate@1")
            extraEngineServers.forEachIndexed { number, server ->
                engine("engine$number", "west", server.hostAndPort, "slate@1")
            }
            serviceEndpoint("service", "west", serviceServer.hostAndPort, "orders")
        }

    /** Configures the organisation `roofers` with everything but its models. */
    fun OrganisationBuilder.roofers() {
        tokenDigest(digest(TOKEN))
        quality(0.8)
        allowService("orders")
    }

    fun send(
        body: String,
        path: String = "/v1/chat/completions",
        method: HttpMethod = HttpMethod.POST,
        token: String = TOKEN,
        configureHeaders: RequestHeadersBuilder.() -> Unit = {},
    ): AggregatedHttpResponse = sendStreaming(body, path, method, token, configureHeaders).aggregate().join()

    /** Sends a request and returns its response without waiting for the body. */
    fun sendStreaming(
        body: String,
        path: String = "/v1/chat/completions",
        method: HttpMethod = HttpMethod.POST,
        token: String = TOKEN,
        configureHeaders: RequestHeadersBuilder.() -> Unit = {},
    ): HttpResponse {
        val headers =
            RequestHeaders
                .builder(method, path)
                .contentType(MediaType.JSON)
                .set("authorization", "Bearer $token")
                .apply(configureHeaders)
                .build()
        return client.execute(headers, body)
    }

    override fun close() {
        router.close()
        engineServer.close()
        extraEngineServers.forEach { it.close() }
        serviceServer.close()
    }

    companion object {
        const val TOKEN = "secret-token"
        private const val MAX_POLLS = 1_000
        private const val POLL_INTERVAL_MILLIS = 10L

        fun digest(token: String): String = Hashing.sha256().hashString(token, Charsets.UTF_8).toString()
    }
}
