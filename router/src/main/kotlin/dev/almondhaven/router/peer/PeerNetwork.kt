package dev.almondhaven.router.peer

import arrow.core.Either
import arrow.core.left
import dev.almondhaven.decision.membership.FleetView
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.RouterId
import dev.almondhaven.peer.PeerKeyRing
import dev.almondhaven.router.settings.PeerSettings
import dev.almondhaven.router.settings.socketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ThreadLocalRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What the parts of a router need in order to speak to other routers.
 *
 * @property self this router as the others know it.
 * @property transport sends messages; fails every message when the router has no peer settings.
 * @property handlers where parts register what they answer.
 * @property topics where parts register what rides on the membership's messages.
 */
public class PeerNetwork private constructor(
    public val self: Member,
    public val transport: PeerTransport,
    public val handlers: PeerHandlers,
    private val parts: List<AutoCloseable>,
) : AutoCloseable {
    public val topics: GossipTopics = GossipTopics()

    private val published = PublishedView(self)

    /** Routers held to be alive; reads the newest view at every call. */
    public val view: FleetView get() = published

    /** Routers that have stopped answering but are still in the view. */
    @Volatile
    internal var suspects: Set<RouterId> = emptySet()
        private set

    internal fun publish(
        view: FleetView,
        suspects: Set<RouterId>,
    ) {
        published.current = view
        this.suspects = suspects
    }

    override fun close() {
        parts.forEach { it.close() }
    }

    public companion object {
        private val MESSAGE_TIMEOUT: Duration = 500.milliseconds
        private const val NO_ADDRESS = ""
        private const val HEXADECIMAL = 16

        /** Listens for peers as [settings] say; with none, the network of a router that knows no other. */
        internal fun open(
            settings: PeerSettings?,
            domain: FailureDomainId,
        ): PeerNetwork {
            val id = newRouterId(domain)
            val handlers = PeerHandlers()
            if (settings == null) return PeerNetwork(Member(id, domain, NO_ADDRESS), NoTransport, handlers, emptyList())
            val keys = PeerKeyRing(settings.keys)
            val server = PeerServer(socketAddress(settings.listen), keys, handlers).also { it.start() }
            val transport = HttpPeerTransport(keys, MESSAGE_TIMEOUT)
            val address = "${settings.listen.substringBeforeLast(':')}:${server.port}"
            return PeerNetwork(Member(id, domain, address), transport, handlers, listOf(server, transport))
        }

        private fun newRouterId(domain: FailureDomainId): RouterId =
            RouterId(
                "$domain-" +
                    ThreadLocalRandom
                        .current()
                        .nextLong()
                        .toULong()
                        .toString(HEXADECIMAL),
            )
    }
}

private class PublishedView(
    override val self: Member,
) : FleetView {
    @Volatile
    var current: FleetView = FleetView.ofSelf(self)

    override val members: List<Member> get() = current.members
}

private object NoTransport : PeerTransport {
    override fun post(
        to: Member,
        path: String,
        body: String,
    ): CompletableFuture<Either<PeerError, String>> =
        CompletableFuture.completedFuture(PeerError.NotSent("no peer settings").left())
}
