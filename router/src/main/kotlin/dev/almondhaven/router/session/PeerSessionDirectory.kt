package dev.almondhaven.router.session

import arrow.core.getOrElse
import dev.almondhaven.decision.membership.FleetView
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.decision.membership.RendezvousHash
import dev.almondhaven.decision.session.SessionKey
import dev.almondhaven.decision.session.SessionPin
import dev.almondhaven.model.LogEvent
import dev.almondhaven.router.peer.PeerHandler
import dev.almondhaven.router.peer.PeerTransport
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

private val logger = KotlinLogging.logger {}

/**
 * The directory over the fleet: two routers, chosen by rendezvous hashing, hold each session, and every router keeps
 * what it has learnt. A holder that doesn't answer in time counts as knowing nothing.
 */
public class PeerSessionDirectory(
    private val local: LocalSessionDirectory,
    private val view: FleetView,
    private val transport: PeerTransport,
    private val timeout: Duration,
) : SessionDirectory {
    /** Answers look-ups of peers at [LOOK_UP_PATH]. */
    public val lookUpHandler: PeerHandler =
        PeerHandler { body ->
            val key = json.decodeFromString(SessionLookupRequest.serializer(), body).key
            json.encodeToString(SessionPinResponse.serializer(), SessionPinResponse(local.held(key)))
        }

    /** Takes pins of peers at [PIN_PATH]. */
    public val pinHandler: PeerHandler =
        PeerHandler { body ->
            val notice = json.decodeFromString(SessionPinUpdate.serializer(), body)
            notice.replaces?.let { local.replace(it, notice.pin) }
            json.encodeToString(SessionPinResponse.serializer(), SessionPinResponse(local.keep(notice.pin)))
        }

    override fun lookUp(key: SessionKey): CompletableFuture<SessionPin?> {
        val held = local.held(key) ?: return refresh(key)
        return CompletableFuture.completedFuture(held)
    }

    override fun refresh(key: SessionKey): CompletableFuture<SessionPin?> {
        val answers = ask(key, LOOK_UP_PATH, SessionLookupRequest.serializer(), SessionLookupRequest(key))
        return answers.thenApply { pins -> merged(pins)?.let { local.keep(it) } ?: local.held(key) }
    }

    override fun remember(pin: SessionPin): CompletableFuture<SessionPin> {
        val kept = local.keep(pin)
        val answers = ask(pin.key, PIN_PATH, SessionPinUpdate.serializer(), SessionPinUpdate(kept))
        return answers.thenApply { pins -> local.keep(merged(pins) ?: kept) }
    }

    override fun move(
        from: SessionPin,
        pin: SessionPin,
    ) {
        local.replace(from, pin)
        ask(pin.key, PIN_PATH, SessionPinUpdate.serializer(), SessionPinUpdate(pin, replaces = from))
    }

    private fun merged(pins: List<SessionPin>): SessionPin? = pins.reduceOrNull(SessionPin::merge)

    private fun holders(key: SessionKey): List<Member> =
        RendezvousHash
            .choose("session/$key", view.members, HOLDERS) { it.id.value }
            .filter { it.id != view.self.id }

    private fun <T> ask(
        key: SessionKey,
        path: String,
        serializer: KSerializer<T>,
        message: T,
    ): CompletableFuture<List<SessionPin>> {
        val holders = holders(key)
        if (holders.isEmpty()) return CompletableFuture.completedFuture(emptyList())
        val body = json.encodeToString(serializer, message)
        val answers = holders.map { askOne(it, path, body) }
        return CompletableFuture.allOf(*answers.toTypedArray()).thenApply {
            val heard = answers.mapNotNull { it.join() }
            if (heard.isEmpty()) LogEvent.SESSION_HOLDER_SILENT.log(logger) { "session=$key holders=${holders.size}" }
            heard.mapNotNull { it.pin }
        }
    }

    private fun askOne(
        holder: Member,
        path: String,
        body: String,
    ): CompletableFuture<SessionPinResponse?> =
        transport
            .post(holder, path, body)
            .thenApply { result -> result.map { parse(it) }.getOrElse { null } }
            .completeOnTimeout(null, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .exceptionally { null }

    private fun parse(text: String): SessionPinResponse? =
        try {
            json.decodeFromString(SessionPinResponse.serializer(), text)
        } catch (_: SerializationException) {
            null
        }

    public companion object {
        /** Path of look-ups below `/peer/v1/`. */
        public const val LOOK_UP_PATH: String = "sessions/look-up"

        /** Path of pins below `/peer/v1/`. */
        public const val PIN_PATH: String = "sessions/pin"

        private const val HOLDERS = 2
        private val json = Json { ignoreUnknownKeys = true }
    }
}
