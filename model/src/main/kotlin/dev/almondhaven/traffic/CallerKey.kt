package dev.almondhaven.traffic

/** The secret by which a caller shows its organisation; never logged. */
@JvmInline
public value class CallerKey(
    public val value: String,
) {
    override fun toString(): String = "CallerKey(hidden)"
}
