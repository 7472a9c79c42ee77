package dev.almondhaven.gateway.state

/**
 * Work whose time until the answer began is evidence for or against a new version.
 *
 * @property model null for plain services.
 * @property expectedMillis estimated time to read the prompt; 0 for plain services.
 */
internal data class TimedWork(
    val route: String,
    val model: String?,
    val expectedMillis: Double,
) {
    /** Works of one kind take comparable times. */
    val kind: String get() = "$route/$model"
}
