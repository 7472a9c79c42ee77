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
 * The session directory of the fleet. Two routers, selected by rendezvous hashing, hold the pin of each session, and
 * every router caches the pins that it receives. A holder that doesn't respond in time is treated as holding no pin.
 */
public class PeerSessionDirectory(
    private val localDirectory: LocalSessionDirectory,
    private val view: FleetView,
    private val transport: PeerTransport,
    private val timeout: Duration,
) : SessionDirectory {
    /** Handles look-ups from peers at [LOOK_UP_PATH]. */
    public val lookUpHandler: PeerHandler =
        PeerHandler { body ->
            val key = json.decodeFromString(SessionLookupRequest.serializer(), body).key
            json.encodeToString(SessionPinResponse.serializer(), SessionPinResponse(localDirectory.pinOrNull(key)))
        }

    /** Handles pin updates from peers at [PIN_PATH]. */
    public val pinHandler: PeerHandler =
        PeerHandler { body ->
            val update = json.decodeFromString(SessionPinUpdate.serializer(), body)
            update.replaces?.let { localDirectory.replaceIfSameVersion(it, update.pin) }
            val response = SessionPinResponse(localDirectory.putIfPreferred(update.pin))
            json.encodeToString(SessionPinResponse.serializer(), response)
        }

    override fun lookUp(key: SessionKey): CompletableFuture<SessionPin?> {
        val cached = localDirectory.pinOrNull(key) ?: return refresh(key)
        return CompletableFuture.completedFuture(cached)
    }

    override fun refresh(key: SessionKey): CompletableFuture<SessionPin?> {
        val replies = askHolders(key, LOOK_UP_PATH, SessionLookupRequest.serializer(), SessionLookupRequest(key))
        return replies.thenApply { pins ->
            mergeOrNull(pins)?.let { localDirectory.putIfPreferred(it) } ?: localDirectory.pinOrNull(key)
        }
    }

    override fun remember(pin: SessionPin): CompletableFuture<SessionPin> {
        val kept = localDirectory.putIfPreferred(pin)
        val replies = askHolders(pin.key, PIN_PATH, SessionPinUpdate.serializer(), SessionPinUpdate(kept))
        return replies.thenApply { pins -> localDirectory.putIfPreferred(mergeOrNull(pins) ?: kept) }
    }

    override fun move(
        from: SessionPin,
        pin: SessionPin,
    ) {
        localDirectory.replaceIfSameVersion(from, pin)
        askHolders(pin.key, PIN_PATH, SessionPinUpdate.serializer(), SessionPinUpdate(pin, replaces = from))
    }

    private fun mergeOrNull(pins: List<SessionPin>): SessionPin? = pins.reduceOrNull(SessionPin::merge)

    private fun holdersOf(key: SessionKey): List<Member> =
        RendezvousHash
            .choose("session/$key", view.members, HOLDERS_PER_SESSION) { it.id.value }
            .filter { it.id != view.self.id }

    private fun <T> askHolders(
        key: SessionKey,
        path: String,
        serializer: KSerializer<T>,
        message: T,
    ): CompletableFuture<List<SessionPin>> {
        val holders = holdersOf(key)
        if (holders.isEmpty()) return CompletableFuture.completedFuture(emptyList())
        val body = json.encodeToString(serializer, message)
        val responses = holders.map { requestOrNull(it, path, body) }
        return CompletableFuture.allOf(*responses.toTypedArray()).thenApply {
            val received = responses.mapNotNull { it.join() }
            if (received.isEmpty()) {
                LogEvent.SESSION_HOLDER_SILENT.log(logger) { "session=$key holders=${holders.size}" }
            }
            received.mapNotNull { it.pin }
        }
    }

    private fun requestOrNull(
        holder: Member,
        path: String,
        body: String,
    ): CompletableFuture<SessionPinResponse?> =
        transport
            .post(holder, path, body)
            .thenApply { result -> result.map { parseOrNull(it) }.getOrElse { null } }
            .completeOnTimeout(null, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .exceptionally { null }

    private fun parseOrNull(text: String): SessionPinResponse? =
        try {
            json.decodeFromString(SessionPinResponse.serializer(), text)
        } catch (_: SerializationException) {
            null
        }

    public companion object {
        /** Path of the look-up handler below `/peer/v1/`. */
        public const val LOOK_UP_PATH: String = "sessions/look-up"

        /** Path of the pin handler below `/peer/v1/`. */
        public const val PIN_PATH: String = "sessions/pin"

        private const val HOLDERS_PER_SESSION = 2
        private val json = Json { ignoreUnknownKeys = true }
    }
}
