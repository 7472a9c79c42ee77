package dev.almondhaven.router.billing

import arrow.core.Either
import arrow.core.left
import dev.almondhaven.decision.billing.BillingStatement
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.peer.PeerKey
import dev.almondhaven.router.Router
import dev.almondhaven.router.TestDeployment
import dev.almondhaven.router.settings.PeerSettings
import dev.almondhaven.router.settings.PlatformSettings
import dev.almondhaven.router.settings.ProcessSettings
import dev.almondhaven.router.settings.RouterSettings
import dev.almondhaven.store.BillingStore
import dev.almondhaven.store.ObjectKey
import dev.almondhaven.store.ObjectStore
import dev.almondhaven.store.ObjectVersion
import dev.almondhaven.store.PlatformError
import dev.almondhaven.store.WriteCondition
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

class BillingHandOverTest {
    private val request = """{"model":"auto","messages":[{"role":"user","content":"hi"}],"max_tokens":3}"""

    /** An object store that rejects writes of billing records. */
    private class BillingRejectingObjectStore(
        private val objects: ObjectStore,
    ) : ObjectStore by objects {
        override fun put(
            key: ObjectKey,
            value: String,
            condition: WriteCondition,
        ): Either<PlatformError, ObjectVersion> =
            if (key.value.startsWith("billing/")) {
                PlatformError.NotSent("billing writes are rejected").left()
            } else {
                objects.put(key, value, condition)
            }
    }

    private fun peerSettings(seeds: List<String> = emptyList()) =
        PeerSettings(
            "127.0.0.1:0",
            listOf(PeerKey("0123456789abcdef")),
            seeds,
            null,
            100.milliseconds,
            300.milliseconds,
        )

    private fun startPeer(deployment: TestDeployment): Router {
        val settings =
            RouterSettings(
                ProcessSettings(FailureDomainId("east"), "127.0.0.1:0"),
                PlatformSettings("http://127.0.0.1:1"),
                peers = peerSettings(listOf(deployment.router.self.peerAddress)),
            )
        return Router.start(settings, deployment.objects)
    }

    private fun awaitTwoMembers(deployment: TestDeployment) {
        repeat(MAX_POLLS) {
            if ("almondhaven_peer_members 2.0" in deployment.get("/metrics").contentUtf8()) return
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS)
        }
        error("the routers did not discover each other")
    }

    @Nested
    inner class `a router that stops while the platform rejects billing writes` {
        @Test
        fun `hands its records over to a peer, which stores them when it stops at the latest`() {
            val deployment =
                TestDeployment(peerSettings = peerSettings(), wrapObjects = ::BillingRejectingObjectStore).publish()
            val peer = startPeer(deployment)
            awaitTwoMembers(deployment)
            repeat(3) { deployment.send(request) }
            deployment.close()
            peer.close()
            val objects = BillingStore(deployment.objects).readAll().getOrNull().orEmpty()

            expectThat(BillingStatement.of(objects.asSequence()).records.map { it.organisation })
                .isEqualTo(List(3) { OrganisationId("roofers") })
        }
    }

    private companion object {
        const val MAX_POLLS = 1_000
        const val POLL_INTERVAL_MILLIS = 10L
    }
}
