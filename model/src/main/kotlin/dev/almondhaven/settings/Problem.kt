package dev.almondhaven.settings

/**
 * One error in a document that an operator wrote.
 *
 * @property path path of the value, for example `endpoints.added[2].slots`.
 * @property value the actual value as text.
 * @property expected description of a valid value.
 */
public data class Problem(
    public val path: String,
    public val value: String,
    public val expected: String,
) {
    override fun toString(): String = "$path: got '$value', expected $expected"
}
