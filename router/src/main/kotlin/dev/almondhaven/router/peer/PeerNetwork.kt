package dev.almondhaven.router.peer

import arrow.core.Either
import arrow.core.left
import dev.almondhaven.decision.membership.FleetView
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.RouterId
import dev.almondhaven.peer.PeerKeyRing
import dev.almondhaven.router.settings.PeerSettings
import dev.almondhaven.router.settings.parseSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ThreadLocalRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Gives the components of a router access to the other routers.
 *
 * @property self the membership entry of this router.
 * @property transport sends messages to peers; every message fails if the router has no peer settings.
 * @property handlers registry of the handlers for messages from peers.
 * @property topics registry of the topics that are gossiped with membership messages.
 */
public class PeerNetwork private constructor(
    public val self: Member,
    public val transport: PeerTransport,
    public val handlers: PeerHandlers,
    private val resources: List<AutoCloseable>,
) : AutoCloseable {
    public val topics: GossipTopics = GossipTopics()

    private val publishedView = PublishedView(self)

    /** The routers considered alive; the returned view always reflects the latest membership. */
    public val view: FleetView get() = publishedView

    /** Routers that no longer respond to probes but have not been removed from the view yet. */
    @Volatile
    internal var suspects: Set<RouterId> = emptySet()
        private set

    internal fun publish(
        view: FleetView,
        suspects: Set<RouterId>,
    ) {
        publishedView.current = view
        this.suspects = suspects
    }

    override fun close() {
        resources.forEach { it.close() }
    }

    public companion object {
        private val MESSAGE_TIMEOUT: Duration = 500.milliseconds
        private const val NO_ADDRESS = ""
        private const val HEX_RADIX = 16

        /** Starts listening for peers; without [settings], returns the network of a router that has no peers. */
        internal fun open(
            settings: PeerSettings?,
            domain: FailureDomainId,
        ): PeerNetwork {
            val id = newRouterId(domain)
            val handlers = PeerHandlers()
            if (settings == null) return PeerNetwork(Member(id, domain, NO_ADDRESS), NoTransport, handlers, emptyList())
            val keys = PeerKeyRing(settings.keys)
            val server = PeerServer(parseSocketAddress(settings.listen), keys, handlers).also { it.start() }
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
                        .toString(HEX_RADIX),
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
