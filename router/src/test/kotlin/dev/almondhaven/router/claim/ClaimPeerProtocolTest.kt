package dev.almondhaven.router.claim

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.almondhaven.decision.claim.AttemptLedger
import dev.almondhaven.decision.claim.AttemptStatus
import dev.almondhaven.decision.claim.ClaimOperation
import dev.almondhaven.decision.claim.ClaimShard
import dev.almondhaven.decision.claim.ClaimVerdict
import dev.almondhaven.decision.claim.Digest
import dev.almondhaven.decision.claim.ShardWriterLimits
import dev.almondhaven.decision.membership.FixedFleetView
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.RouterId
import dev.almondhaven.router.peer.PeerError
import dev.almondhaven.router.peer.PeerHandlers
import dev.almondhaven.router.peer.PeerTransport
import dev.almondhaven.store.FaultyObjectStore
import dev.almondhaven.store.InMemoryObjectStore
import dev.almondhaven.store.ObjectStoreFaults
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ClaimPeerProtocolTest {
    private val objects =
        FaultyObjectStore(InMemoryObjectStore(), 1, ObjectStoreFaults(lostResponses = 0.3, staleReads = 0.2))
    private val members = List(3) { Member(RouterId("router-$it"), FailureDomainId("west"), "10.0.0.$it:1") }
    private val unreachable = ConcurrentHashMap.newKeySet<RouterId>()
    private val routers = members.map { TestRouter(it) }

    private inner class TestRouter(
        val self: Member,
    ) : PeerTransport {
        val handlers = PeerHandlers()
        val ledger = AttemptLedger(self.id)
        val writerPool =
            ClaimWriterPool(objects, ShardWriterLimits(writeInterval = 5.milliseconds), NanoClock.SYSTEM) { 0 }
        val protocol =
            ClaimPeerProtocol(
                { FixedFleetView(self, members) },
                this,
                writerPool,
                ledger,
                NanoClock.SYSTEM,
                200.milliseconds,
            ).also { it.register(handlers) }

        override fun post(
            to: Member,
            path: String,
            body: String,
        ): CompletableFuture<Either<PeerError, String>> {
            if (to.id in unreachable || self.id in unreachable) {
                return CompletableFuture.completedFuture(PeerError.NotSent("unreachable").left())
            }
            val receiver = routers.first { it.self.id == to.id }
            val handler = checkNotNull(receiver.handlers.find(path)) { "no handler for $path" }
            return CompletableFuture.supplyAsync { handler.handle(body).right() }
        }
    }

    @AfterAll
    fun closeWriters() {
        routers.forEach { it.writerPool.close() }
    }

    private fun claim(
        router: TestRouter,
        key: String,
    ): ClaimVerdict {
        val attempt = router.ledger.issue(Long.MAX_VALUE)
        val operation = ClaimOperation.Claim(Digest(key), attempt, Digest("body"), claimedAt = 0)
        return router.protocol.settle(ClaimShard("claims/undated/1"), operation).join()
    }

    private fun grantsPerKey(
        prefix: String,
        keyCount: Int,
    ): List<Int> =
        (1..keyCount).map { number ->
            routers
                .map { CompletableFuture.supplyAsync { claim(it, "$prefix$number") } }
                .count { it.join() == ClaimVerdict.Granted }
        }

    @Nested
    inner class `a key claimed by every router at once` {
        @Test
        fun `is granted once through the owner of the shard`() {
            expectThat(grantsPerKey("together", 20)).isEqualTo(List(20) { 1 })
        }

        @Test
        fun `is granted once while no router can reach another`() {
            unreachable += members.map { it.id }
            val granted = grantsPerKey("cut", 10)
            unreachable.clear()

            expectThat(granted).isEqualTo(List(10) { 1 })
        }
    }

    @Nested
    inner class `the holder of an attempt` {
        private val attempt = routers[0].ledger.issue(System.nanoTime() + 60_000_000_000)

        @Test
        fun `reports the status to any router`() {
            expectThat(routers[1].protocol.queryStatus(attempt).join()).isEqualTo(AttemptStatus.Pending)
            routers[0].ledger.void(attempt)
            expectThat(routers[2].protocol.queryStatus(attempt).join()).isEqualTo(AttemptStatus.Void)
        }

        @Test
        fun `that is unreachable yields no status`() {
            unreachable += members[0].id
            val status = routers[1].protocol.queryStatus(attempt).join()
            unreachable.clear()

            expectThat(status).isNull()
        }
    }
}
