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

/** One router before one engine and one service, all in this process, talking real HTTP on loopback. */
internal class TestDeployment(
    behaviour: EngineBehaviour = EngineBehaviour(),
    moreEngines: Int = 0,
    endpointSettings: EndpointSettings = EndpointSettings(),
    peerSettings: PeerSettings? = null,
    platformOf: (ObjectStore) -> ObjectStore = { it },
) : AutoCloseable {
    val objects = InMemoryObjectStore()
    val engine = EngineStandIn(behaviour)
    val service = ServiceStandIn()

    /** `ip:port` of the engine. */
    val engineAddress: String get() = engineServer.hostAndPort
    val moreEngines = List(moreEngines) { EngineStandIn(behaviour) }
    private val moreEngineServers = this.moreEngines.map { more -> StandInServer.start { more.addTo(it) } }
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
    val router = Router.start(settings, platformOf(objects))
    val client: WebClient = WebClient.of("http://127.0.0.1:${router.port}")

    /** Publishes the note and waits until it is in force. */
    fun publish(note: ReleaseNote = firstNote()): TestDeployment = publish(ConfigurationEntry.NotePublished(note))

    /** Publishes the entry and waits until it is in force. */
    fun publish(entry: ConfigurationEntry): TestDeployment {
        val publisher = Publisher("test", acceptedAt = 0, from = "test")
        val accepted = ConfigurationStore(objects).publish(entry, publisher)
        val generation = accepted.fold({ error("not accepted: $it") }, { it.generation })
        val expected = "almondhaven_configuration_generation ${generation.value.toDouble()}"
        repeat(PATIENCE_STEPS) {
            if (expected in get("/metrics").contentUtf8()) return this
            TimeUnit.MILLISECONDS.sleep(STEP_MILLIS)
        }
        error("generation $generation did not come in force")
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
            moreEngineServers.forEachIndexed { number, server ->
                engine("engine$number", "west", server.hostAndPort, "slate@1")
            }
            serviceEndpoint("service", "west", serviceServer.hostAndPort, "orders")
        }

    /** What the organisation `roofers` has in every note, its models aside. */
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
        additional: RequestHeadersBuilder.() -> Unit = {},
    ): AggregatedHttpResponse = sendStreaming(body, path, method, token, additional).aggregate().join()

    /** Sends without waiting for the end of the answer. */
    fun sendStreaming(
        body: String,
        path: String = "/v1/chat/completions",
        method: HttpMethod = HttpMethod.POST,
        token: String = TOKEN,
        additional: RequestHeadersBuilder.() -> Unit = {},
    ): HttpResponse {
        val headers =
            RequestHeaders
                .builder(method, path)
                .contentType(MediaType.JSON)
                .set("authorization", "Bearer $token")
                .apply(additional)
                .build()
        return client.execute(headers, body)
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
