package dev.almondhaven.router.filter

import com.google.common.hash.Hashing
import com.linecorp.armeria.common.HttpHeaderNames
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.controller.CatalogueHolder
import java.util.concurrent.CompletableFuture

/**
 * Authenticates the request: finds the organisation that owns its bearer token. The catalogue holds only SHA-256
 * digests of tokens.
 */
internal class AuthenticationFilter(
    private val holder: CatalogueHolder,
) : RequestFilter {
    override fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        if (!holder.configured) {
            return refuse(
                ResultCode.NOT_CONFIGURED,
                "this router has not received a configuration yet",
            )
        }
        val header = exchange.headers.get(HttpHeaderNames.AUTHORIZATION).orEmpty()
        if (!header.startsWith(SCHEME, ignoreCase = true)) {
            return refuse(ResultCode.UNKNOWN_TOKEN, "the request needs an Authorization header with a bearer token")
        }
        val token = header.substring(SCHEME.length).trim()
        val digest = Hashing.sha256().hashString(token, Charsets.UTF_8).toString()
        val organisation =
            holder.index.organisationByDigest(digest)
                ?: return refuse(ResultCode.UNKNOWN_TOKEN, "the bearer token belongs to no organisation")
        exchange.journal.recordOrganisation(organisation.id)
        return next.handle(exchange.with(organisation))
    }

    private fun refuse(
        code: ResultCode,
        detail: String,
    ): CompletableFuture<Answer> = Answer.Refused(Refusal.notRun(code, detail)).completed()

    private companion object {
        const val SCHEME = "Bearer "
    }
}
