package dev.almondhaven.settings

import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import kotlin.time.Duration

/** Serializes durations as text, for example `3s` or `250ms`. */
public object DurationText : KSerializer<Duration> {
    internal const val NAME: String = "dev.almondhaven.DurationText"

    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor(NAME, PrimitiveKind.STRING)

    override fun serialize(
        encoder: Encoder,
        value: Duration,
    ): Unit = encoder.encodeString(value.toString())

    override fun deserialize(decoder: Decoder): Duration = Duration.parse(decoder.decodeString())
}
