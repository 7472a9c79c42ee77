package dev.almondhaven.router.filter

import java.util.concurrent.CompletableFuture

/** Answers a request. Runs on an event loop and must not block. */
public fun interface RequestHandler {
    public fun handle(exchange: Exchange): CompletableFuture<Answer>
}

/**
 * One element of the filter chain. It may answer the request itself, pass on a modified exchange, transform the answer
 * of `next`, or call `next` several times.
 */
public fun interface RequestFilter {
    public fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer>
}

/** Composes [filters], in order, and the final handler [last] into one handler. */
public fun filterChain(
    filters: List<RequestFilter>,
    last: RequestHandler,
): RequestHandler =
    filters.foldRight(last) { filter, next -> RequestHandler { exchange -> filter.handle(exchange, next) } }

/** Wraps the answer in a completed future. */
internal fun Answer.completed(): CompletableFuture<Answer> = CompletableFuture.completedFuture(this)
