package dev.almondhaven.model

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/**
 * A model together with its version, written `model@version`.
 *
 * ```
 * ModelVersionId.parse("slate-small@3")
 * ```
 */
@Serializable(with = ModelVersionIdSerializer::class)
public data class ModelVersionId(
    public val model: ModelId,
    public val version: VersionId,
) {
    override fun toString(): String = "$model@$version"

    public companion object {
        /** Parses `model@version`, or returns null when [text] has another shape. */
        public fun parseOrNull(text: String): ModelVersionId? {
            val parts = text.split('@')
            if (parts.size != 2 || parts.any { it.isBlank() }) return null
            return ModelVersionId(ModelId(parts[0]), VersionId(parts[1]))
        }

        /** Parses `model@version`; throws [IllegalArgumentException] on any other shape. */
        public fun parse(text: String): ModelVersionId =
            requireNotNull(parseOrNull(text)) { "expected model@version, got '$text'" }
    }
}

internal object ModelVersionIdSerializer : KSerializer<ModelVersionId> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("ModelVersionId", PrimitiveKind.STRING)

    override fun serialize(
        encoder: Encoder,
        value: ModelVersionId,
    ): Unit = encoder.encodeString(value.toString())

    override fun deserialize(decoder: Decoder): ModelVersionId {
        val text = decoder.decodeString()
        return ModelVersionId.parseOrNull(text)
            ?: throw SerializationException("expected model@version, got '$text'")
    }
}
