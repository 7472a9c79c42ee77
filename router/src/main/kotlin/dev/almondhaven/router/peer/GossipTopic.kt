package dev.almondhaven.router.peer

import dev.almondhaven.model.RouterId
import kotlinx.serialization.json.JsonElement

/**
 * State that routers pool by riding on the membership's gossip messages. What is sent must merge: commutative,
 * associative and idempotent, since messages come late, twice, out of order or not at all.
 */
public interface GossipTopic {
    /** Name of the section in gossip messages. */
    public val name: String

    /** What to tell a peer now, within about [budgetBytes] of JSON; null when there is nothing to tell. */
    public fun nextPayload(budgetBytes: Int): JsonElement?

    /** Merges what [from] told. */
    public fun mergePayload(
        from: RouterId,
        payload: JsonElement,
    )
}
