package dev.almondhaven.router.filter

import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

/** Refuses requests beyond a bound on those in flight in this process. */
internal class AdmissionFilter(
    private val maximumInFlight: Int,
) : RequestFilter {
    private val inFlight = AtomicInteger()

    override fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        if (inFlight.incrementAndGet() > maximumInFlight) {
            inFlight.decrementAndGet()
            val refusal = Refusal.notRun(ResultCode.OVERLOADED, "$maximumInFlight requests are in flight", RETRY_AFTER)
            return Answer.Refused(refusal).completed()
        }
        exchange.journal.whenEnded { inFlight.decrementAndGet() }
        return next.handle(exchange)
    }

    private companion object {
        val RETRY_AFTER = 1.seconds
    }
}
