package dev.almondhaven.router.limit

import dev.almondhaven.decision.limit.OrganisationUsage
import dev.almondhaven.decision.membership.FleetView
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.RouterId
import dev.almondhaven.router.peer.GossipTopic
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/**
 * Pools each router's use of the organisations' limits. A router's word carries a sequence number; the newest one
 * counts, and one that wasn't renewed for [PATIENCE] is forgotten.
 */
public class UsageGossip(
    private val fleet: FleetView,
    private val clock: NanoClock,
) : GossipTopic {
    @Serializable
    private data class OrganisationWord(
        val organisation: OrganisationId,
        val inFlight: Double,
        val tokensPerMinute: Double,
    )

    @Serializable
    private data class RouterWord(
        val router: RouterId,
        val sequence: Long,
        val uses: List<OrganisationWord>,
    )

    private class Heard(
        val word: RouterWord,
        val at: Long,
    )

    private val heard = ConcurrentHashMap<RouterId, Heard>()

    @Volatile
    private var own = RouterWord(fleet.self.id, 0, emptyList())

    override val name: String get() = "usage"

    /** Sets what this router tells the others. */
    public fun tell(uses: Map<OrganisationId, OrganisationUsage>) {
        val words = uses.map { (id, use) -> OrganisationWord(id, use.inFlight, use.tokensPerMinute) }
        own = RouterWord(fleet.self.id, own.sequence + 1, words)
    }

    /** What the other live routers use of [organisation]'s limits, by their last word. */
    public fun usageOfOthers(organisation: OrganisationId): OrganisationUsage {
        val now = clock.nanos()
        val live = fleet.members.mapTo(HashSet()) { it.id }
        heard.values.removeIf { it.word.router !in live || now - it.at > PATIENCE.inWholeNanoseconds }
        return heard.values
            .flatMap { it.word.uses }
            .filter { it.organisation == organisation }
            .fold(OrganisationUsage.NONE) { sum, word -> sum + OrganisationUsage(word.inFlight, word.tokensPerMinute) }
    }

    override fun nextPayload(budgetBytes: Int): JsonElement? {
        val words = ArrayList<RouterWord>()
        var bytes = 0
        val freshestFirst = heard.values.sortedByDescending { it.at }.map { it.word }
        for (word in listOf(own) + freshestFirst) {
            bytes += BYTES_PER_ROUTER + word.uses.size * BYTES_PER_ORGANISATION
            if (bytes > budgetBytes) break
            words += word
        }
        if (words.isEmpty()) return null
        return Json.encodeToJsonElement(WORDS, words)
    }

    override fun mergePayload(
        from: RouterId,
        payload: JsonElement,
    ) {
        val words =
            try {
                LENIENT.decodeFromJsonElement(WORDS, payload)
            } catch (_: SerializationException) {
                return
            }
        val now = clock.nanos()
        words.filter { it.router != fleet.self.id }.forEach { word ->
            heard.merge(word.router, Heard(word, now)) { held, new ->
                if (new.word.sequence > held.word.sequence) new else held
            }
        }
    }

    private companion object {
        val PATIENCE = 10.seconds
        const val BYTES_PER_ROUTER = 90
        const val BYTES_PER_ORGANISATION = 80
        val WORDS = ListSerializer(RouterWord.serializer())
        val LENIENT = Json { ignoreUnknownKeys = true }
    }
}
