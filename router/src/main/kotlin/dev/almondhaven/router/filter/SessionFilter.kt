package dev.almondhaven.router.filter

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.almondhaven.catalogue.VersionState
import dev.almondhaven.decision.session.SessionKey
import dev.almondhaven.decision.session.SessionPin
import dev.almondhaven.decision.session.SessionRefusal
import dev.almondhaven.decision.session.SessionTokens
import dev.almondhaven.decision.session.SessionVersionResolver
import dev.almondhaven.decision.session.VerifiedToken
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.model.SessionId
import dev.almondhaven.router.controller.CatalogueHolder
import dev.almondhaven.router.session.SessionDirectory
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.UUID
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/**
 * Keeps each session on one model version. A request with a session token, or with a session id that the directory
 * knows, is pinned to the session's version, or to the configured successor once that version is withdrawn. The answer
 * in a new or moved session carries a token that names the session's version.
 *
 * @property epochMillis wall clock that the age of tokens is measured by.
 */
internal class SessionFilter(
    private val holder: CatalogueHolder,
    private val tokens: SessionTokens?,
    private val directory: SessionDirectory,
    private val epochMillis: () -> Long,
) : RequestFilter {
    override fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val call = exchange.call as? Call.Model ?: return next.handle(exchange)
        val token = exchange.headers.get(TOKEN_HEADER)
        val id = exchange.headers.get(ID_HEADER)
        return when {
            id != null && !ID_PATTERN.matches(id) -> refuse(invalid("the session id must match $ID_PATTERN"))
            token != null -> verify(exchange, token, id).fold(::refuse) { resume(exchange, call, it, token, next) }
            id != null -> handleById(exchange, call, SessionId(id), next)
            else -> begin(exchange, SessionId(UUID.randomUUID().toString()), idFromCaller = false, next)
        }
    }

    private fun verify(
        exchange: Exchange,
        token: String,
        id: String?,
    ): Either<Refusal, VerifiedToken> {
        val verifier = tokens ?: return invalid("this deployment has no key configured for session tokens").left()
        val result = verifier.verify(token, exchange.organisation.id, epochMillis())
        return result.fold(
            { error ->
                LogEvent.SESSION_TOKEN_REFUSED.log(logger) { "request=${exchange.requestId} error=$error" }
                invalid(error.detail).left()
            },
            { verified ->
                val sameSession = id == null || verified.pin.key.session.value == id
                if (sameSession) {
                    verified.right()
                } else {
                    invalid(
                        "the session token is of another session than the id",
                    ).left()
                }
            },
        )
    }

    private fun handleById(
        exchange: Exchange,
        call: Call.Model,
        id: SessionId,
        next: RequestHandler,
    ): CompletableFuture<Answer> =
        findPin(SessionKey(exchange.organisation.id, id))
            .thenComposeAsync(
                { pin ->
                    if (pin == null) {
                        begin(exchange, id, idFromCaller = true, next)
                    } else {
                        resume(exchange, call, VerifiedToken(pin, needsRenewal = true), token = null, next)
                    }
                },
                exchange.eventLoop,
            )

    /**
     * Looks up the pin of a session known only by its id. If the pinned version is no longer active, refreshes the pin
     * from the routers that hold the session, since it may already have moved.
     */
    private fun findPin(key: SessionKey): CompletableFuture<SessionPin?> =
        directory.lookUp(key).thenCompose { pin ->
            val isCurrent = pin == null || holder.index.version(pin.version)?.state == VersionState.ACTIVE
            if (isCurrent) CompletableFuture.completedFuture(pin) else directory.refresh(key)
        }

    /** Handles the first request of a session: the version that answers becomes the session's version. */
    private fun begin(
        exchange: Exchange,
        session: SessionId,
        idFromCaller: Boolean,
        next: RequestHandler,
    ): CompletableFuture<Answer> =
        next.handle(exchange).thenCompose { answer ->
            val served = exchange.journal.servedVersion
            if (served == null) {
                answer.completed()
            } else {
                val pin = SessionPin(SessionKey(exchange.organisation.id, session), served, epochMillis())
                val stored = if (idFromCaller) directory.remember(pin) else CompletableFuture.completedFuture(pin)
                stored.thenApply { answer.also { _ -> addSessionHeaders(exchange, it) } }
            }
        }

    private fun resume(
        exchange: Exchange,
        call: Call.Model,
        session: VerifiedToken,
        token: String?,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val pin = session.pin
        val version =
            SessionVersionResolver
                .resolve(holder.index, exchange.organisation.id, pin.version)
                .fold({ return refuse(refusal(it)) }, { it })
        if (!matchesSession(exchange, call.selector, pin, version)) return refuse(modelDiffers(call.selector, version))
        val moved = version != pin.version
        val current = if (moved) pin.movedTo(version) else pin
        if (moved) recordMove(exchange, pin, current)
        return next.handle(exchange.pinnedTo(version)).thenApply { answer ->
            val renewed = if (session.needsRenewal) current.copy(issuedAt = epochMillis()) else current
            if (moved || session.needsRenewal) addSessionHeaders(exchange, renewed) else addTokenHeader(exchange, token)
            answer
        }
    }

    private fun recordMove(
        exchange: Exchange,
        from: SessionPin,
        to: SessionPin,
    ) {
        LogEvent.SESSION_MOVED.log(logger) { "session=${from.key} from=${from.version} to=${to.version}" }
        exchange.journal.addAnswerHeader(MOVED_HEADER, "${from.version} ${to.version}")
        directory.move(from, to)
    }

    /** Whether the requested model admits the session's version, current or before its move. */
    private fun matchesSession(
        exchange: Exchange,
        selector: ModelSelector,
        pin: SessionPin,
        version: ModelVersionId,
    ): Boolean =
        when (selector) {
            ModelSelector.Any -> {
                true
            }

            is ModelSelector.Model -> {
                selector.model == version.model
            }

            is ModelSelector.Version -> {
                selector.id == pin.version ||
                    SessionVersionResolver.resolve(holder.index, exchange.organisation.id, selector.id).getOrNull() ==
                    version
            }
        }

    private fun addSessionHeaders(
        exchange: Exchange,
        pin: SessionPin,
    ) {
        addTokenHeader(exchange, tokens?.issue(pin))
        exchange.journal.addAnswerHeader(ID_HEADER, pin.key.session.value)
    }

    private fun addTokenHeader(
        exchange: Exchange,
        token: String?,
    ) {
        token?.let { exchange.journal.addAnswerHeader(TOKEN_HEADER, it) }
    }

    private fun refusal(refusal: SessionRefusal): Refusal =
        when (refusal) {
            is SessionRefusal.Withdrawn -> {
                val detail = "model version ${refusal.version} is withdrawn and has no successor; start a new session"
                Refusal.notRun(ResultCode.SESSION_VERSION_WITHDRAWN, detail)
            }

            is SessionRefusal.NotAllowed -> {
                val detail = "the organisation may not use model version ${refusal.version}; start a new session"
                Refusal.notRun(ResultCode.SESSION_VERSION_NOT_ALLOWED, detail)
            }

            is SessionRefusal.Unknown -> {
                val detail = "this router's configuration ${holder.index.generation} has no version ${refusal.version}"
                Refusal.notRun(ResultCode.SESSION_VERSION_UNKNOWN, detail, RETRY_AFTER)
            }
        }

    private fun modelDiffers(
        selector: ModelSelector,
        version: ModelVersionId,
    ): Refusal {
        val detail = "the session is pinned to $version, the request asks for $selector; start a new session for it"
        return Refusal.notRun(ResultCode.SESSION_MODEL_DIFFERS, detail)
    }

    private fun invalid(detail: String): Refusal = Refusal.notRun(ResultCode.SESSION_TOKEN_INVALID, detail)

    private fun refuse(refusal: Refusal): CompletableFuture<Answer> = Answer.Refused(refusal).completed()

    internal companion object {
        /** Header that carries the session token in requests and answers. */
        const val TOKEN_HEADER = "x-session-token"

        /** Header that carries the session id in requests and answers. */
        const val ID_HEADER = "x-session-id"

        /** Answer header of a session that moved: its previous and its new version, separated by a space. */
        const val MOVED_HEADER = "x-almondhaven-session-moved"
        private val ID_PATTERN = Regex("[A-Za-z0-9._~-]{1,128}")
        private val RETRY_AFTER = 1.seconds
    }
}
