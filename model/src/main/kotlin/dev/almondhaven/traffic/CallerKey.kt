package dev.almondhaven.traffic

/** The API key that identifies the organisation of a caller; never logged. */
@JvmInline
public value class CallerKey(
    public val value: String,
) {
    override fun toString(): String = "CallerKey(hidden)"
}
