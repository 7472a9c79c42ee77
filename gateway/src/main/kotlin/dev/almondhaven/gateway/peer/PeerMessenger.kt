package dev.almondhaven.gateway.peer

import dev.almondhaven.decision.membership.RendezvousHash
import dev.almondhaven.gateway.state.RoutingState
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.apache.commons.rng.UniformRandomProvider
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/**
 * Exchanges datagrams with the other routers about long prefills: an engine in the prefill of a long prompt delays all
 * its other requests, and its load reports are too old to show that. During a roll-out the routers also tell each other
 * how long ago it was ordered and, since the requests of a session reach different routers, on which version the sessions
 * of the canary's share run. In a large fleet they tell each other which endpoints
 * broke connections, since each of them would have to lose requests to learn it. Datagrams may be lost. Must be used on the event loop only, except [listen].
 */
internal class PeerMessenger(
    private val group: EventLoopGroup,
    private val address: String,
    private val loop: EventLoop,
    private val clock: NanoClock,
    private val routing: RoutingState,
    private val random: UniformRandomProvider,
) : RollOutAnnouncer,
    PromptAnnouncer {
    private var channel: Channel? = null
    private var peers: List<InetSocketAddress> = emptyList()
    private val prefills = ArrayList<PrefillAnnouncement>()
    private val sessions = ArrayList<SessionAnnouncement>()
    private val limits = ArrayList<LimitAnnouncement>()
    private val failures = ArrayList<FailureAnnouncement>()

    /** Called with the session announcements of other routers. */
    var onSession: (SessionAnnouncement) -> Unit = {}

    /** Called with the canary announcements of other routers. */
    var onCanary: (CanaryAnnouncement) -> Unit = {}

    /** Called with what other routers state about roll-outs, and their addresses. */
    var onRollOut: (RollOutStatement, InetSocketAddress) -> Unit = { _, _ -> }

    /** Called with what other routers announce about prompt parts. */
    var onPrompts: (PromptAnnouncement) -> Unit = {}

    /** Binds to the peer address. */
    fun listen() {
        val bootstrap = Bootstrap().group(group).channel(NioDatagramChannel::class.java).handler(Receiver())
        channel = bootstrap.bind(socketAddress(address)).sync().channel()
    }

    /** Sets the addresses of the other routers. */
    fun setPeers(addresses: List<String>) {
        peers = addresses.map(::socketAddress)
    }

    private val isLargeFleet: Boolean get() = routing.routerCount >= FEWEST_ROUTERS_TO_POOL

    /** Announces that [endpoint] broke a connection without an answer. */
    fun announceFailure(endpoint: EndpointId) {
        if (!isLargeFleet || peers.isEmpty() || failures.size >= MAX_ANNOUNCEMENTS_PER_DATAGRAM) return
        scheduleFlush()
        failures += FailureAnnouncement(endpoint.value)
    }

    private fun socketAddress(text: String): InetSocketAddress =
        InetSocketAddress(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())

    /** Announces that the attempt [key] keeps [endpoint] in prefill for [millis], if that is long enough to matter. */
    fun announcePrefillStart(
        key: String,
        endpoint: EndpointId,
        millis: Double,
    ) {
        if (isWorthAnnouncing(millis)) send(PrefillAnnouncement(key, endpoint.value, millis.toInt()))
    }

    /** Revokes what [announcePrefillStart] announced. */
    fun announcePrefillEnd(
        key: String,
        endpoint: EndpointId,
        millis: Double,
    ) {
        if (isWorthAnnouncing(millis)) send(PrefillAnnouncement(key, endpoint.value, 0))
    }

    /** In a larger fleet only longer prefills are announced, which bounds the messages that one router receives. */
    private fun isWorthAnnouncing(millis: Double): Boolean =
        millis >= MIN_PREFILL_MILLIS * maxOf(1, routing.routerCount / ROUTERS_AT_MIN_PREFILL)

    override fun announceCanary(
        service: String,
        announcements: List<CanaryAnnouncement>,
        rejected: Boolean,
    ) {
        val open = channel ?: return
        val receivers = if (rejected) peers else canaryCollectors(service)
        announcements.chunked(MAX_CANARIES_PER_DATAGRAM).map { encode(PeerMessage(canaries = it)) }.forEach { bytes ->
            receivers.forEach { open.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), it)) }
        }
        open.flush()
    }

    /** The routers that pool the counts of [service]: the same ones at every router, whatever the size of the fleet. */
    private fun canaryCollectors(service: String): List<InetSocketAddress> {
        val routers = peers + socketAddress(address)
        return RendezvousHash.choose(service, routers, CANARY_COLLECTORS) { "$it" } - socketAddress(address)
    }

    override fun askRollOut(statement: RollOutStatement) {
        val open = channel ?: return
        val receivers = List(minOf(ASKED_ROUTERS, peers.size)) { peers[random.nextInt(peers.size)] }.distinct()
        val bytes = encode(PeerMessage(rollOuts = listOf(statement)))
        receivers.forEach { open.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), it)) }
        open.flush()
    }

    override fun answerRollOut(
        address: InetSocketAddress,
        statement: RollOutStatement,
        sessions: List<SessionAnnouncement>,
    ) {
        val open = channel ?: return
        val messages =
            listOf(PeerMessage(rollOuts = listOf(statement))) +
                sessions.chunked(MAX_ANNOUNCEMENTS_PER_DATAGRAM) { PeerMessage(sessions = it.toList()) }
        messages.forEach { open.write(DatagramPacket(Unpooled.wrappedBuffer(encode(it)), address)) }
        open.flush()
    }

    override fun announcePrompts(announcement: PromptAnnouncement) {
        val open = channel ?: return
        val crashes =
            announcement.crashes.chunked(
                MAX_CRASHES_PER_DATAGRAM,
            ) { PromptAnnouncement(crashes = it.toList()) }
        val others = listOf(announcement.copy(crashes = emptyList())).filterNot { it.isEmpty }
        (others + crashes).map { encode(PeerMessage(prompts = it)) }.forEach { bytes ->
            peers.forEach { open.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), it)) }
        }
        open.flush()
    }

    override fun announceSession(announcement: SessionAnnouncement) {
        if (peers.isEmpty()) return
        scheduleFlush()
        sessions += announcement
    }

    /** Announces that [endpoint] states another limit of requests per second; null for none. */
    fun announceLimit(
        endpoint: EndpointId,
        perSecond: Double?,
    ) {
        if (peers.isEmpty()) return
        scheduleFlush()
        limits += LimitAnnouncement(endpoint.value, perSecond)
    }

    private fun send(announcement: PrefillAnnouncement) {
        if (peers.isEmpty()) return
        scheduleFlush()
        prefills += announcement
    }

    private fun scheduleFlush() {
        if (prefills.isEmpty() && sessions.isEmpty() && limits.isEmpty() && failures.isEmpty()) {
            loop.schedule(::flush, BATCH_DELAY_MILLIS, TimeUnit.MILLISECONDS)
        }
    }

    private fun flush() {
        val messages =
            prefills.chunked(MAX_ANNOUNCEMENTS_PER_DATAGRAM) { PeerMessage(prefills = it.toList()) } +
                sessions.chunked(MAX_ANNOUNCEMENTS_PER_DATAGRAM) { PeerMessage(sessions = it.toList()) } +
                limits.chunked(MAX_ANNOUNCEMENTS_PER_DATAGRAM) { PeerMessage(limits = it.toList()) } +
                failures.chunked(MAX_ANNOUNCEMENTS_PER_DATAGRAM) { PeerMessage(failures = it.toList()) }
        prefills.clear()
        sessions.clear()
        limits.clear()
        failures.clear()
        val open = channel ?: return
        messages.map(::encode).forEach { bytes ->
            peers.forEach { open.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), it)) }
        }
        open.flush()
    }

    private fun encode(message: PeerMessage): ByteArray =
        json.encodeToString(PeerMessage.serializer(), message).toByteArray()

    private fun handleMessage(
        text: String,
        sender: InetSocketAddress,
    ) {
        val message =
            try {
                json.decodeFromString(PeerMessage.serializer(), text)
            } catch (failure: SerializationException) {
                LogEvent.PEER_MESSAGE_BAD.log(logger) { "reason=${failure.message?.lineSequence()?.first()}" }
                return
            }
        message.prefills.forEach(::applyPrefill)
        message.sessions.forEach(onSession)
        message.canaries.forEach(onCanary)
        message.limits.forEach(::applyLimit)
        message.failures.forEach(::applyFailure)
        message.rollOuts.forEach { onRollOut(it, sender) }
        if (!message.prompts.isEmpty) onPrompts(message.prompts)
    }

    private fun applyPrefill(announcement: PrefillAnnouncement) {
        val remotePrefills = routing.endpoint(EndpointId(announcement.endpoint))?.state?.remotePrefills ?: return
        if (announcement.millis > 0) {
            remotePrefills.add(announcement.key, announcement.millis.toDouble(), clock.nanos())
        } else {
            remotePrefills.remove(announcement.key)
        }
    }

    private fun applyLimit(announcement: LimitAnnouncement) {
        val endpoint = routing.endpoint(EndpointId(announcement.endpoint)) ?: return
        val isLimit = announcement.perSecond == null || announcement.perSecond >= 0
        if (isLimit) endpoint.state.rateLimit.recordAnnounced(announcement.perSecond, clock.nanos())
    }

    private fun applyFailure(announcement: FailureAnnouncement) {
        routing.endpoint(EndpointId(announcement.endpoint))?.state?.recordAnnouncedFailure(clock.nanos())
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(
            context: ChannelHandlerContext,
            packet: DatagramPacket,
        ): Unit = handleMessage(packet.content().toString(Charsets.UTF_8), packet.sender())

        @Deprecated("Deprecated by ChannelHandler; it is how ChannelInboundHandler reports errors.")
        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ): Unit = LogEvent.PEER_MESSAGE_BAD.log(logger) { "reason=${cause.message}" }
    }

    private companion object {
        val json = Json { ignoreUnknownKeys = true }

        /** So many announcements of about 60 bytes fit into one packet. */
        const val MAX_ANNOUNCEMENTS_PER_DATAGRAM = 16

        /** About two decode steps of a busy engine; shorter prefills delay no other request noticeably. */
        const val MIN_PREFILL_MILLIS = 60.0
        const val ROUTERS_AT_MIN_PREFILL = 8

        /** So many announcements of about 120 bytes fit into one packet. */
        const val MAX_CANARIES_PER_DATAGRAM = 8

        /** So many announcements of a few prompt parts each fit into one packet. */
        const val MAX_CRASHES_PER_DATAGRAM = 8

        /** One is enough; more of them cover for routers that are lost or cut off. */
        const val CANARY_COLLECTORS = 3

        /** Routers that are asked at a time; one is enough, more of them cover for lost datagrams and lost routers. */
        const val ASKED_ROUTERS = 4

        /** A router of a smaller fleet sees enough of each endpoint by itself. */
        const val FEWEST_ROUTERS_TO_POOL = 8

        /** Announcements within this time are sent together. */
        const val BATCH_DELAY_MILLIS = 2L
    }
}
