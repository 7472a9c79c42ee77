package dev.almondhaven.router.filter

import java.util.concurrent.CompletableFuture

/** Answers a request. Called on an event loop, so it never blocks. */
public fun interface RequestHandler {
    public fun handle(exchange: Exchange): CompletableFuture<Answer>
}

/**
 * One link of the filter chain. It may answer by itself, pass a changed exchange on, change the answer on its way back,
 * or call [next][RequestHandler] several times.
 */
public fun interface RequestFilter {
    public fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer>
}

/** A handler that runs [filters] in order and ends with [last]. */
public fun filterChain(
    filters: List<RequestFilter>,
    last: RequestHandler,
): RequestHandler =
    filters.foldRight(last) { filter, next -> RequestHandler { exchange -> filter.handle(exchange, next) } }

/** An answer that is already known. */
internal fun Answer.completed(): CompletableFuture<Answer> = CompletableFuture.completedFuture(this)
