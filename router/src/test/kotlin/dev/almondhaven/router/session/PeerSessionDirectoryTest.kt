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
    private val unreachable = mutableSetOf<Member>()
    private val directories: List<PeerSessionDirectory> =
        members.map { self ->
            val local = LocalSessionDirectory(SessionSettings())
            PeerSessionDirectory(local, FixedFleetView(self, members), InProcessTransport(), timeout = 5.seconds)
        }
    private val key = SessionKey(OrganisationId("roofers"), SessionId("one"))

    private inner class InProcessTransport : PeerTransport {
        override fun post(
            to: Member,
            path: String,
            body: String,
        ): CompletableFuture<Either<PeerError, String>> = CompletableFuture.completedFuture(respond(to, path, body))

        private fun respond(
            to: Member,
            path: String,
            body: String,
        ): Either<PeerError, String> {
            if (to in unreachable) return PeerError.NotSent("unreachable").left()
            val directory = directories[members.indexOf(to)]
            val isLookUp = path == PeerSessionDirectory.LOOK_UP_PATH
            val handler = if (isLookUp) directory.lookUpHandler else directory.pinHandler
            return handler.handle(body).right()
        }
    }

    private fun pin(
        version: String,
        issuedAt: Long = 0,
    ) = SessionPin(key, ModelVersionId.parse(version), issuedAt)

    /** Creates the directory of a router that joined after the session began and remembers no pins. */
    private fun newRouter(): PeerSessionDirectory {
        val view = FixedFleetView(members[0].copy(id = RouterId("late")), members)
        val local = LocalSessionDirectory(SessionSettings())
        return PeerSessionDirectory(local, view, InProcessTransport(), timeout = 5.seconds)
    }

    private fun versionsOnAllRouters() =
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
        fun `that begins on two routers concurrently keeps one version`() {
            directories[0].remember(pin("slate@2", issuedAt = 5)).join()
            val second = directories[1].remember(pin("slate@1", issuedAt = 9)).join()

            expectThat(second).isEqualTo(pin("slate@2", issuedAt = 5))
            expectThat(versionsOnAllRouters()).isEqualTo(List(5) { "slate@2" })
        }

        @Test
        fun `that has moved has the new version on every router, whatever pins they cached`() {
            directories[0].remember(pin("slate@1")).join()
            directories.forEach { it.lookUp(key).join() }
            directories[3].move(pin("slate@1"), pin("slate@1").movedTo(ModelVersionId.parse("slate@2")))

            expectThat(versionsOnAllRouters()).isEqualTo(List(5) { "slate@2" })
        }

        @Test
        fun `is found while any one router is unreachable`() {
            directories[0].remember(pin("slate@1")).join()

            members.drop(1).forEach { lost ->
                unreachable.clear()
                unreachable += lost
                expectThat(newRouter().lookUp(key).join()).isEqualTo(pin("slate@1"))
            }
        }

        @Test
        fun `is unknown to a router that can reach no holder`() {
            directories[0].remember(pin("slate@1")).join()
            unreachable += members

            expectThat(newRouter().lookUp(key).join()).isNull()
        }
    }
}
