package dev.almondhaven.router.peer

import java.util.concurrent.ConcurrentHashMap

/**
 * Registry of the peer protocol's message handlers, by path.
 *
 * ```
 * peers.handlers.register("claims/void") { body -> voidClaim(body) }
 * ```
 */
public class PeerHandlers {
    private val handlers = ConcurrentHashMap<String, PeerHandler>()

    /** Registers [handler] for messages to `/peer/v1/[path]`, which may be duplicated, delayed or reordered. */
    public fun register(
        path: String,
        handler: PeerHandler,
    ) {
        val previous = handlers.putIfAbsent(path, handler)
        check(previous == null) { "a handler for the peer path $path is already registered" }
    }

    internal fun find(path: String): PeerHandler? = handlers[path]
}
