package dev.almondhaven.router.peer

import dev.almondhaven.decision.choice.EvidenceCell
import dev.almondhaven.decision.choice.EvidenceSubject
import dev.almondhaven.decision.choice.Tally
import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.RouterId
import dev.almondhaven.model.TaskClass
import dev.almondhaven.router.controller.ChoiceController
import dev.almondhaven.router.controller.EvidenceUpdate
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** Gossips quality evidence about model versions. A message holds as many updates as fit its budget. */
internal class EvidenceTopic(
    private val controller: ChoiceController,
) : GossipTopic {
    override val name: String = "evidence"

    override fun nextPayload(budgetBytes: Int): JsonElement? {
        val messages = mutableListOf<EvidenceMessage>()
        var remainingBytes = budgetBytes - MAX_UPDATE_BYTES
        while (remainingBytes > 0) {
            val message = EvidenceMessage.of(controller.nextEvidenceUpdate() ?: break)
            messages += message
            remainingBytes -= message.estimatedBytes
        }
        return if (messages.isEmpty()) null else json.encodeToJsonElement(serializer, messages)
    }

    override fun mergePayload(
        from: RouterId,
        payload: JsonElement,
    ): Unit = controller.merge(json.decodeFromJsonElement(serializer, payload).mapNotNull { it.toUpdateOrNull() })

    private companion object {
        const val MAX_UPDATE_BYTES = 400
        val json = Json { ignoreUnknownKeys = true }
        val serializer = ListSerializer(EvidenceMessage.serializer())
    }
}

/** Wire form of an [EvidenceUpdate]. */
@Serializable
private data class EvidenceMessage(
    val origin: RouterId,
    val version: ModelVersionId,
    val definedIn: Generation,
    val taskClass: TaskClass,
    val bucket: Long,
    val counts: String,
) {
    val estimatedBytes: Int get() =
        FIELD_NAMES_BYTES + origin.value.length + "$version".length + taskClass.value.length + counts.length

    fun toUpdateOrNull(): EvidenceUpdate? {
        val tally = Tally.parseOrNull(counts) ?: return null
        return EvidenceUpdate(EvidenceCell(origin, EvidenceSubject(version, definedIn, taskClass), bucket), tally)
    }

    companion object {
        private const val FIELD_NAMES_BYTES = 110

        fun of(update: EvidenceUpdate): EvidenceMessage {
            val (origin, subject, bucket) = update.cell
            return EvidenceMessage(
                origin,
                subject.version,
                subject.definedIn,
                subject.taskClass,
                bucket,
                update.tally.toText(),
            )
        }
    }
}
