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

/** Pools evidence about versions between routers. A message holds as many changed readings as fit. */
internal class EvidenceTopic(
    private val controller: ChoiceController,
) : GossipTopic {
    override val name: String = "evidence"

    override fun nextPayload(budgetBytes: Int): JsonElement? {
        val readings = mutableListOf<EvidenceMessage>()
        var left = budgetBytes - LARGEST_READING_BYTES
        while (left > 0) {
            val message = EvidenceMessage.of(controller.nextEvidenceUpdate() ?: break)
            readings += message
            left -= message.bytes
        }
        return if (readings.isEmpty()) null else json.encodeToJsonElement(serializer, readings)
    }

    override fun mergePayload(
        from: RouterId,
        payload: JsonElement,
    ): Unit = controller.merge(json.decodeFromJsonElement(serializer, payload).mapNotNull { it.toReadingOrNull() })

    private companion object {
        const val LARGEST_READING_BYTES = 400
        val json = Json { ignoreUnknownKeys = true }
        val serializer = ListSerializer(EvidenceMessage.serializer())
    }
}

/** An [EvidenceUpdate] in a message. */
@Serializable
private data class EvidenceMessage(
    val origin: RouterId,
    val version: ModelVersionId,
    val definedIn: Generation,
    val taskClass: TaskClass,
    val bucket: Long,
    val counts: String,
) {
    val bytes: Int get() =
        FIELD_NAMES_BYTES + origin.value.length + "$version".length + taskClass.value.length + counts.length

    fun toReadingOrNull(): EvidenceUpdate? {
        val tally = Tally.parseOrNull(counts) ?: return null
        return EvidenceUpdate(EvidenceCell(origin, EvidenceSubject(version, definedIn, taskClass), bucket), tally)
    }

    companion object {
        private const val FIELD_NAMES_BYTES = 110

        fun of(reading: EvidenceUpdate): EvidenceMessage {
            val (origin, subject, bucket) = reading.cell
            return EvidenceMessage(
                origin,
                subject.version,
                subject.definedIn,
                subject.taskClass,
                bucket,
                reading.tally.toText(),
            )
        }
    }
}
