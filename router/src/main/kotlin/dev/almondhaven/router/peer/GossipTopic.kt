package dev.almondhaven.router.peer

import dev.almondhaven.model.RouterId
import kotlinx.serialization.json.JsonElement

/**
 * State that routers share by piggybacking it on the gossip messages of the membership protocol. Merging must be
 * commutative, associative and idempotent, since messages may be delayed, duplicated, reordered or lost.
 */
public interface GossipTopic {
    /** Name of the topic's section in gossip messages. */
    public val name: String

    /** Returns the payload for the next message, about [budgetBytes] of JSON at most; null if nothing is to be sent. */
    public fun nextPayload(budgetBytes: Int): JsonElement?

    /** Merges a payload that [from] sent. */
    public fun mergePayload(
        from: RouterId,
        payload: JsonElement,
    )
}
