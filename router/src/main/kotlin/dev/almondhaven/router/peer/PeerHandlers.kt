package dev.almondhaven.router.peer

import java.util.concurrent.ConcurrentHashMap

/**
 * The handlers of the peer protocol by path.
 *
 * ```
 * peers.handlers.register("claims/void") { body -> voidClaim(body) }
 * ```
 */
public class PeerHandlers {
    private val handlers = ConcurrentHashMap<String, PeerHandler>()

    /** Answers messages to `/peer/v1/[path]` with [handler]; the messages may come twice, late and out of order. */
    public fun register(
        path: String,
        handler: PeerHandler,
    ) {
        val previous = handlers.putIfAbsent(path, handler)
        check(previous == null) { "two handlers for the peer path $path" }
    }

    internal fun of(path: String): PeerHandler? = handlers[path]
}
