package dev.almondhaven.router.peer

import dev.almondhaven.decision.rollout.Quarantine
import dev.almondhaven.decision.rollout.QuarantineSet
import dev.almondhaven.model.RouterId
import dev.almondhaven.router.controller.ChoiceController
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/**
 * Gossips all quarantines that this router knows of with every message. They are few, and each gossip round about
 * doubles the number of routers that know them.
 */
internal class QuarantineTopic(
    private val controller: ChoiceController,
) : GossipTopic {
    override val name: String = "quarantine"

    override fun nextPayload(budgetBytes: Int): JsonElement? {
        val newest =
            controller.snapshot.quarantines.all
                .takeLast(minOf(MAX_QUARANTINES, budgetBytes / MAX_QUARANTINE_BYTES))
        return if (newest.isEmpty()) null else json.encodeToJsonElement(serializer, newest)
    }

    override fun mergePayload(
        from: RouterId,
        payload: JsonElement,
    ): Unit = controller.merge(QuarantineSet.of(json.decodeFromJsonElement(serializer, payload)))

    private companion object {
        const val MAX_QUARANTINES = 16
        const val MAX_QUARANTINE_BYTES = 450
        val json = Json { ignoreUnknownKeys = true }
        val serializer = ListSerializer(Quarantine.serializer())
    }
}
