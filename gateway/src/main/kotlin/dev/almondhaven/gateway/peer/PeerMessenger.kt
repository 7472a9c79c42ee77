package dev.almondhaven.gateway.peer

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
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/**
 * Tells the other routers which endpoints read long prompts for this one, and hears the same of them: an engine that reads
 * a long prompt delays whatever else comes to it, and its own reports are too old to show that. During a roll-out it also
 * tells which sessions still run on the old version, since the requests of a session reach different routers. Datagrams may
 * be lost; what they say only ever shifts a choice between endpoints. Lives on the event loop, but for [listen].
 */
internal class PeerMessenger(
    private val group: EventLoopGroup,
    private val address: String,
    private val loop: EventLoop,
    private val clock: NanoClock,
    private val routing: RoutingState,
) {
    private var channel: Channel? = null
    private var peers: List<InetSocketAddress> = emptyList()
    private val readings = ArrayList<PrefillAnnouncement>()
    private val sessions = ArrayList<SessionAnnouncement>()

    /** Hears what other routers say of sessions. */
    var onSession: (SessionAnnouncement) -> Unit = {}

    /** Opens the port. */
    fun listen() {
        val bootstrap = Bootstrap().group(group).channel(NioDatagramChannel::class.java).handler(Receiver())
        channel = bootstrap.bind(socketAddress(address)).sync().channel()
    }

    /** Sets the addresses of the other routers. */
    fun known(addresses: List<String>) {
        peers = addresses.map(::socketAddress)
    }

    private fun socketAddress(text: String): InetSocketAddress =
        InetSocketAddress(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())

    /** Announces that the attempt [key] keeps [endpoint] reading for [millis], if that is long. */
    fun readingBegins(
        key: String,
        endpoint: EndpointId,
        millis: Double,
    ) {
        if (isLong(millis)) send(PrefillAnnouncement(key, endpoint.value, millis.toInt()))
    }

    /** Revokes what [readingBegins] announced. */
    fun readingEnds(
        key: String,
        endpoint: EndpointId,
        millis: Double,
    ) {
        if (isLong(millis)) send(PrefillAnnouncement(key, endpoint.value, 0))
    }

    /** A larger fleet announces only longer prompts, so that what one router receives stays bounded. */
    private fun isLong(millis: Double): Boolean =
        millis >= SHORTEST_MILLIS * maxOf(1, routing.routers / ROUTERS_AT_SHORTEST)

    /** Announces which version a session runs on, or ran on until now. */
    fun sessionRuns(note: SessionAnnouncement) {
        if (peers.isEmpty()) return
        scheduleFlush()
        sessions += note
    }

    private fun send(note: PrefillAnnouncement) {
        if (peers.isEmpty()) return
        scheduleFlush()
        readings += note
    }

    private fun scheduleFlush() {
        if (readings.isEmpty() && sessions.isEmpty()) {
            loop.schedule(::flush, GROUPING_MILLIS, TimeUnit.MILLISECONDS)
        }
    }

    private fun flush() {
        val messages =
            readings.chunked(NOTES_AT_ONCE) { PeerMessage(readings = it.toList()) } +
                sessions.chunked(NOTES_AT_ONCE) { PeerMessage(sessions = it.toList()) }
        readings.clear()
        sessions.clear()
        val open = channel ?: return
        messages.map { json.encodeToString(PeerMessage.serializer(), it).toByteArray() }.forEach { bytes ->
            peers.forEach { open.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), it)) }
        }
        open.flush()
    }

    private fun received(text: String) {
        val message =
            try {
                json.decodeFromString(PeerMessage.serializer(), text)
            } catch (failure: SerializationException) {
                LogEvent.PEER_MESSAGE_BAD.log(logger) { "reason=${failure.message?.lineSequence()?.first()}" }
                return
            }
        message.readings.forEach(::heard)
        message.sessions.forEach(onSession)
    }

    private fun heard(note: PrefillAnnouncement) {
        val reading = routing.endpoint(EndpointId(note.endpoint))?.state?.remotePrefills ?: return
        if (note.millis > 0) {
            reading.add(note.key, note.millis.toDouble(), clock.nanos())
        } else {
            reading.remove(note.key)
        }
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(
            context: ChannelHandlerContext,
            packet: DatagramPacket,
        ): Unit = received(packet.content().toString(Charsets.UTF_8))

        @Deprecated("Deprecated by ChannelHandler; it is how ChannelInboundHandler reports errors.")
        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ): Unit = LogEvent.PEER_MESSAGE_BAD.log(logger) { "reason=${cause.message}" }
    }

    private companion object {
        val json = Json { ignoreUnknownKeys = true }

        /** Notes of about 60 bytes fit into one packet of the network. */
        const val NOTES_AT_ONCE = 16

        /** About two steps of a busy engine; shorter readings delay nobody noticeably. */
        const val SHORTEST_MILLIS = 60.0
        const val ROUTERS_AT_SHORTEST = 8

        /** Notes that come together go out together. */
        const val GROUPING_MILLIS = 2L
    }
}
