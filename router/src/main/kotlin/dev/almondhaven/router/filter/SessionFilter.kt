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
 * Keeps sessions on their version. A request with a session token, or with a session id that the directory knows, is
 * pinned to the session's version, or to the named successor once that is withdrawn. An answer to a new or moved session
 * carries a token for the version that gave it.
 *
 * @property epochMillis the wall clock, for the age of tokens.
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
            id != null && !ID_PATTERN.matches(id) -> refuse(invalid("the session id is not 1 to 128 plain characters"))
            token != null -> verify(exchange, token, id).fold(::refuse) { resume(exchange, call, it, token, next) }
            id != null -> byId(exchange, call, SessionId(id), next)
            else -> begin(exchange, SessionId(UUID.randomUUID().toString()), known = false, next)
        }
    }

    private fun verify(
        exchange: Exchange,
        token: String,
        id: String?,
    ): Either<Refusal, VerifiedToken> {
        val verifier = tokens ?: return invalid("this deployment has no keys for session tokens").left()
        val result = verifier.verify(token, exchange.organisation.id, epochMillis())
        return result.fold(
            { error ->
                LogEvent.SESSION_TOKEN_REFUSED.log(logger) { "request=${exchange.requestId} error=$error" }
                invalid(error.detail).left()
            },
            { verified ->
                val sameSession = id == null || verified.pin.key.session.value == id
                if (sameSession) verified.right() else invalid("the token and the id name two sessions").left()
            },
        )
    }

    private fun byId(
        exchange: Exchange,
        call: Call.Model,
        id: SessionId,
        next: RequestHandler,
    ): CompletableFuture<Answer> =
        pinOf(SessionKey(exchange.organisation.id, id))
            .thenComposeAsync(
                { pin ->
                    if (pin == null) {
                        begin(exchange, id, known = true, next)
                    } else {
                        resume(exchange, call, VerifiedToken(pin, needsRenewal = true), token = null, next)
                    }
                },
                exchange.eventLoop,
            )

    /** The pin of a session known by its id; before it moves off its version the holders are asked whether it has. */
    private fun pinOf(key: SessionKey): CompletableFuture<SessionPin?> =
        directory.lookUp(key).thenCompose { pin ->
            val inService = pin == null || holder.index.version(pin.version)?.state == VersionState.ACTIVE
            if (inService) CompletableFuture.completedFuture(pin) else directory.refresh(key)
        }

    /** A session's first request: the version that answers is the one that the session keeps. */
    private fun begin(
        exchange: Exchange,
        session: SessionId,
        known: Boolean,
        next: RequestHandler,
    ): CompletableFuture<Answer> =
        next.handle(exchange).thenCompose { answer ->
            val served = exchange.journal.servedVersion
            if (served == null) {
                answer.completed()
            } else {
                val pin = SessionPin(SessionKey(exchange.organisation.id, session), served, epochMillis())
                val kept = if (known) directory.remember(pin) else CompletableFuture.completedFuture(pin)
                kept.thenApply { answer.also { _ -> announce(exchange, it) } }
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
        if (!agrees(exchange, call.selector, pin, version)) return refuse(otherModel(call.selector, version))
        val moved = version != pin.version
        val current = if (moved) pin.movedTo(version) else pin
        if (moved) move(exchange, pin, current)
        return next.handle(exchange.pinnedTo(version)).thenApply { answer ->
            val renewed = if (session.needsRenewal) current.copy(issuedAt = epochMillis()) else current
            if (moved || session.needsRenewal) announce(exchange, renewed) else echo(exchange, token)
            answer
        }
    }

    private fun move(
        exchange: Exchange,
        from: SessionPin,
        to: SessionPin,
    ) {
        LogEvent.SESSION_MOVED.log(logger) { "session=${from.key} from=${from.version} to=${to.version}" }
        exchange.journal.addAnswerHeader(MOVED_HEADER, "${from.version} ${to.version}")
        directory.move(from, to)
    }

    /** Whether a caller that names a model names the session's own, as it is now or as it was. */
    private fun agrees(
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

    private fun announce(
        exchange: Exchange,
        pin: SessionPin,
    ) {
        echo(exchange, tokens?.issue(pin))
        exchange.journal.addAnswerHeader(ID_HEADER, pin.key.session.value)
    }

    private fun echo(
        exchange: Exchange,
        token: String?,
    ) {
        token?.let { exchange.journal.addAnswerHeader(TOKEN_HEADER, it) }
    }

    private fun refusal(refusal: SessionRefusal): Refusal =
        when (refusal) {
            is SessionRefusal.Withdrawn -> {
                val detail = "${refusal.version} is withdrawn without a successor; begin a new session"
                Refusal.notRun(ResultCode.SESSION_VERSION_WITHDRAWN, detail)
            }

            is SessionRefusal.NotAllowed -> {
                val detail = "the organisation may not use ${refusal.version}; begin a new session"
                Refusal.notRun(ResultCode.SESSION_VERSION_NOT_ALLOWED, detail)
            }

            is SessionRefusal.Unknown -> {
                val detail = "this router's configuration ${holder.index.generation} has no ${refusal.version}"
                Refusal.notRun(ResultCode.SESSION_VERSION_UNKNOWN, detail, RETRY_AFTER)
            }
        }

    private fun otherModel(
        selector: ModelSelector,
        version: ModelVersionId,
    ): Refusal {
        val detail = "the session runs on $version, the request names $selector; begin a new session for it"
        return Refusal.notRun(ResultCode.SESSION_MODEL_DIFFERS, detail)
    }

    private fun invalid(detail: String): Refusal = Refusal.notRun(ResultCode.SESSION_TOKEN_INVALID, detail)

    private fun refuse(refusal: Refusal): CompletableFuture<Answer> = Answer.Refused(refusal).completed()

    internal companion object {
        /** Carries the session's token in requests and answers. */
        const val TOKEN_HEADER = "x-session-token"

        /** Carries the session's id in requests and answers. */
        const val ID_HEADER = "x-session-id"

        /** Tells in an answer that the session moved: the version it had and the one it has. */
        const val MOVED_HEADER = "x-almondhaven-session-moved"
        private val ID_PATTERN = Regex("[A-Za-z0-9._~-]{1,128}")
        private val RETRY_AFTER = 1.seconds
    }
}
