package dev.almondhaven.router.peer

import arrow.core.Either
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.RequestHeaders
import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.catalogue.FailureDomain
import dev.almondhaven.catalogue.FailureDomainChanges
import dev.almondhaven.catalogue.ReleaseNote
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.Generation
import dev.almondhaven.model.NoteId
import dev.almondhaven.model.RegionId
import dev.almondhaven.peer.ConfigurationHeld
import dev.almondhaven.peer.ConfigurationPush
import dev.almondhaven.peer.PeerKey
import dev.almondhaven.peer.PeerKeyRing
import dev.almondhaven.peer.PeerProtocol
import dev.almondhaven.peer.PeerStatus
import dev.almondhaven.router.Router
import dev.almondhaven.router.settings.PeerSettings
import dev.almondhaven.router.settings.PlatformSettings
import dev.almondhaven.router.settings.ProcessSettings
import dev.almondhaven.router.settings.RouterSettings
import dev.almondhaven.store.ConfigurationStore
import dev.almondhaven.store.InMemoryObjectStore
import dev.almondhaven.store.ObjectStore
import dev.almondhaven.store.PlatformError
import dev.almondhaven.store.Publisher
import dev.almondhaven.store.Revision
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestMethodOrder
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Runs two routers over loopback, the second of which can't reach the platform from the start. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
class RouterGossipTest {
    private val key = PeerKey("0123456789abcdef")
    private val keyRing = PeerKeyRing(listOf(key))
    private val objects = InMemoryObjectStore()
    private val first = Router.start(settings("west"), objects)
    private val partitioned =
        Router.start(settings("east", listOf(first.self.peerAddress)), UnreachableObjectStore(objects))
    private val routers = listOf(first, partitioned)

    private class UnreachableObjectStore(
        objects: ObjectStore,
    ) : ObjectStore by objects {
        override fun list(
            prefix: String,
            after: dev.almondhaven.store.ObjectKey?,
            limit: Int,
        ) = Either.Left(PlatformError.NoAnswer("partitioned"))

        override fun watch(
            prefix: String,
            after: Revision,
            wait: Duration,
        ) = Either.Left(PlatformError.NoAnswer("partitioned"))
    }

    private fun settings(
        domain: String,
        seeds: List<String> = emptyList(),
    ): RouterSettings {
        val peers = PeerSettings("127.0.0.1:0", listOf(key), seeds, null, 100.milliseconds, 300.milliseconds)
        return RouterSettings(
            ProcessSettings(FailureDomainId(domain), "127.0.0.1:0"),
            PlatformSettings("http://127.0.0.1:1", watchWait = 50.milliseconds),
            peers = peers,
        )
    }

    private fun Router.callPeerPath(
        path: String,
        body: String?,
    ): String {
        val fullPath = PeerProtocol.PATH_PREFIX + path
        val method = if (body == null) HttpMethod.GET else HttpMethod.POST
        val signature = keyRing.signRequest(fullPath, body.orEmpty())
        val headers = RequestHeaders.of(method, fullPath, PeerProtocol.SIGNATURE_HEADER, signature)
        return WebClient
            .of("http://${self.peerAddress}")
            .execute(headers, body.orEmpty())
            .aggregate()
            .join()
            .contentUtf8()
    }

    private fun Router.status(): PeerStatus =
        PeerProtocol.json.decodeFromString(PeerStatus.serializer(), callPeerPath(PeerProtocol.STATUS, body = null))

    private fun eventually(
        description: String,
        condition: () -> Boolean,
    ) {
        repeat(MAX_POLLS) {
            if (condition()) return
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS)
        }
        error("$description did not happen; ${routers.map { it.status() }}")
    }

    private fun publishFailureDomain(id: String): Generation {
        val domains = FailureDomainChanges(added = listOf(FailureDomain(FailureDomainId(id), RegionId("wales"))))
        val entry = ConfigurationEntry.NotePublished(ReleaseNote(NoteId(id), "test", failureDomains = domains))
        return ConfigurationStore(objects).publish(entry, Publisher("test", 0, "test")).getOrNull()!!.generation
    }

    @AfterAll
    fun closeRouters() {
        partitioned.close()
        first.close()
    }

    @Test
    @Order(1)
    fun `discover each other from one seed`() {
        val expected = routers.map { it.self.id }.sortedBy { it.value }

        eventually("a common view") { routers.all { router -> router.status().members.map { it.id } == expected } }
    }

    @Test
    @Order(2)
    fun `are not ready without a configuration`() {
        expectThat(routers.map { it.status().ready }).isEqualTo(listOf(false, false))
    }

    @Test
    @Order(3)
    fun `apply a published note on a router that cannot reach the platform, and report it as confirmed`() {
        val generation = publishFailureDomain("west")
        eventually("generation $generation") { routers.all { it.status().generation == generation } }
        // The configuration may arrive from the peer before the first call to the platform has failed.
        eventually("a failed call to the platform") { !partitioned.status().platformReachable }

        val status = partitioned.status()
        expectThat(status.copy(members = emptyList(), inForceSince = null)).isEqualTo(
            PeerStatus(
                partitioned.self.id,
                FailureDomainId("east"),
                generation,
                first.status().digest,
                platformReachable = false,
                ready = true,
            ),
        )
    }

    @Test
    @Order(4)
    fun `accept a pushed catalogue only if it is newer`() {
        val pushed = Catalogue(Generation(3))
        val replies =
            listOf(pushed, Catalogue(Generation(2)), pushed.copy(failureDomains = emptyList())).map { catalogue ->
                val body =
                    PeerProtocol.json.encodeToString(
                        ConfigurationPush.serializer(),
                        ConfigurationPush(catalogue),
                    )
                PeerProtocol.json.decodeFromString(
                    ConfigurationHeld.serializer(),
                    partitioned.callPeerPath(PeerProtocol.CONFIGURATION, body),
                )
            }

        expectThat(replies)
            .isEqualTo(listOf(true, false, false).map { ConfigurationHeld(Generation(3), it) })
        eventually("generation 3 everywhere") { routers.all { it.status().generation == Generation(3) } }
    }

    @Test
    @Order(5)
    fun `report a configuration that the platform does not confirm as stale in status, metrics and responses`() {
        eventually("a stale configuration") { partitioned.status().staleSince != null }
        val client = WebClient.of("http://127.0.0.1:${partitioned.port}")
        val response = client.get("/v1/models").aggregate().join()
        val metrics = client.get("/metrics").aggregate().join()

        expectThat(response.headers().get("x-almondhaven-configuration")?.substringBefore(" since"))
            .isNotNull()
            .isEqualTo("3; stale")
        expectThat("almondhaven_configuration_stale_seconds 0.0" in metrics.contentUtf8()).isEqualTo(false)
        expectThat(
            client
                .get("/health/ready")
                .aggregate()
                .join()
                .status(),
        ).isEqualTo(HttpStatus.OK)
    }

    @Test
    @Order(6)
    fun `remove a router from the view when it stops`() {
        val third = Router.start(settings("west", listOf(first.self.peerAddress)), objects)
        eventually("three members") { routers.all { it.status().members.size == 3 } }
        third.close()

        eventually("two members") { routers.all { it.status().members.size == 2 } }
    }

    private companion object {
        const val MAX_POLLS = 500
        const val POLL_INTERVAL_MILLIS = 20L
    }
}
