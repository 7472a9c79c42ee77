package dev.almondhaven.router.peer

import dev.almondhaven.decision.distribution.GossipSections
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.RouterId
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.JsonElement
import java.util.concurrent.CopyOnWriteArrayList

private val logger = KotlinLogging.logger {}

/**
 * The topics whose payloads are piggybacked on membership messages. They share the byte budget of each message; the
 * topic that is served first rotates from message to message.
 */
public class GossipTopics : GossipSections {
    private val topics = CopyOnWriteArrayList<GossipTopic>()
    private var rotation = 0

    /** Adds [topic] to the topics that messages carry. */
    public fun register(topic: GossipTopic) {
        check(topics.none { it.name == topic.name }) { "a gossip topic named ${topic.name} is already registered" }
        topics += topic
    }

    /** Returns the sections of one message, at most [budgetBytes] in total; a section that doesn't fit is left out. */
    override fun outgoing(budgetBytes: Int): Map<String, JsonElement> {
        if (topics.isEmpty()) return emptyMap()
        var remaining = budgetBytes
        val first = rotation++ % topics.size
        val ordered = topics.drop(first) + topics.take(first)
        return buildMap {
            ordered.forEach { topic ->
                val section = topic.nextPayload(remaining) ?: return@forEach
                val bytes = section.toString().length + topic.name.length
                if (bytes > remaining) return@forEach
                remaining -= bytes
                put(topic.name, section)
            }
        }
    }

    override fun incoming(
        from: RouterId,
        sections: Map<String, JsonElement>,
    ) {
        topics.forEach { topic ->
            val section = sections[topic.name] ?: return@forEach
            try {
                topic.mergePayload(from, section)
            } catch (exception: IllegalArgumentException) {
                LogEvent.PEER_MESSAGE_BAD.log(logger, exception) { "from=$from topic=${topic.name}" }
            }
        }
    }
}
