package dev.almondhaven.standins

import kotlinx.serialization.Serializable

/**
 * A request as an engine or service stand-in saw it; the source of truth for counts at the end of an experiment.
 *
 * @property finished whether the whole answer was sent.
 */
@Serializable
public data class RecordedRequest(
    public val requestId: String,
    public val organisation: String,
    public val model: String,
    public val arrivedAt: Long,
    public val finished: Boolean,
)
