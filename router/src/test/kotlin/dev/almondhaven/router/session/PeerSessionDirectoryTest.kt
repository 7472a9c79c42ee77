package dev.almondhaven.router.session

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.almondhaven.decision.membership.FixedFleetView
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.decision.session.SessionKey
import dev.almondhaven.decision.session.SessionPin
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.RouterId
import dev.almondhaven.model.SessionId
import dev.almondhaven.router.peer.PeerError
import dev.almondhaven.router.peer.PeerTransport
import dev.almondhaven.router.settings.SessionSettings
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.seconds

class PeerSessionDirectoryTest {
    private val members =
        List(5) { Member(RouterId("router-$it"), FailureDomainId("west"), peerAddress = "127.0.0.1:$it") }
    private val down = mutableSetOf<Member>()
    private val directories: List<PeerSessionDirectory> =
        members.map { self ->
            val local = LocalSessionDirectory(SessionSettings())
            PeerSessionDirectory(local, FixedFleetView(self, members), Wire(), timeout = 5.seconds)
        }
    private val key = SessionKey(OrganisationId("roofers"), SessionId("one"))

    private inner class Wire : PeerTransport {
        override fun post(
            to: Member,
            path: String,
            body: String,
        ): CompletableFuture<Either<PeerError, String>> = CompletableFuture.completedFuture(answer(to, path, body))

        private fun answer(
            to: Member,
            path: String,
            body: String,
        ): Either<PeerError, String> {
            if (to in down) return PeerError.NotSent("down").left()
            val directory = directories[members.indexOf(to)]
            val lookUp = path == PeerSessionDirectory.LOOK_UP_PATH
            val handler = if (lookUp) directory.lookUpHandler else directory.pinHandler
            return handler.handle(body).right()
        }
    }

    private fun pin(
        version: String,
        issuedAt: Long = 0,
    ) = SessionPin(key, ModelVersionId.parse(version), issuedAt)

    /** A router that came after the session began and remembers nothing. */
    private fun lateRouter(): PeerSessionDirectory {
        val view = FixedFleetView(members[0].copy(id = RouterId("late")), members)
        return PeerSessionDirectory(LocalSessionDirectory(SessionSettings()), view, Wire(), timeout = 5.seconds)
    }

    private fun versionsEverywhere() =
        directories.map {
            it
                .refresh(key)
                .join()
                ?.version
                ?.toString()
        }

    @Nested
    inner class `a session known by its id` {
        @Test
        fun `is found by every router`() {
            directories[0].remember(pin("slate@1")).join()

            expectThat(directories.map { it.lookUp(key).join() }).isEqualTo(List(5) { pin("slate@1") })
        }

        @Test
        fun `that began on two routers at once keeps one version`() {
            directories[0].remember(pin("slate@2", issuedAt = 5)).join()
            val second = directories[1].remember(pin("slate@1", issuedAt = 9)).join()

            expectThat(second).isEqualTo(pin("slate@2", issuedAt = 5))
            expectThat(versionsEverywhere()).isEqualTo(List(5) { "slate@2" })
        }

        @Test
        fun `that has moved once is moved for every router, whatever they remember`() {
            directories[0].remember(pin("slate@1")).join()
            directories.forEach { it.lookUp(key).join() }
            directories[3].move(pin("slate@1"), pin("slate@1").movedTo(ModelVersionId.parse("slate@2")))

            expectThat(versionsEverywhere()).isEqualTo(List(5) { "slate@2" })
        }

        @Test
        fun `is found while any one router is down`() {
            directories[0].remember(pin("slate@1")).join()

            members.drop(1).forEach { lost ->
                down.clear()
                down += lost
                expectThat(lateRouter().lookUp(key).join()).isEqualTo(pin("slate@1"))
            }
        }

        @Test
        fun `is unknown where no holder can be reached`() {
            directories[0].remember(pin("slate@1")).join()
            down += members

            expectThat(lateRouter().lookUp(key).join()).isNull()
        }
    }
}
