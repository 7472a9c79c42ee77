package dev.almondhaven.router.filter

import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.controller.CatalogueHolder
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.seconds

/**
 * Refuses new requests while operators have taken this router's failure domain out of service. Requests in flight
 * continue.
 */
internal class OutOfServiceDomainFilter(
    private val holder: CatalogueHolder,
    private val failureDomain: FailureDomainId,
) : RequestFilter {
    override fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        if (holder.index.inService(failureDomain)) return next.handle(exchange)
        val detail = "failure domain $failureDomain is out of service; retry to reach another router"
        return Answer.Refused(Refusal.notRun(ResultCode.DOMAIN_OUT_OF_SERVICE, detail, RETRY_AFTER)).completed()
    }

    private companion object {
        val RETRY_AFTER = 1.seconds
    }
}
