package dev.almondhaven.settings

/**
 * One thing that is wrong in a document an operator wrote.
 *
 * @property path where it stands, for example `endpoints.added[2].slots`.
 * @property value what stands there, as text.
 * @property expected what would be right.
 */
public data class Problem(
    public val path: String,
    public val value: String,
    public val expected: String,
) {
    override fun toString(): String = "$path: got '$value', expected $expected"
}
