package dev.almondhaven.decision.traffic

/**
 * What asking another model for a request would mean now.
 *
 * @property leftMillis time left of the latency objective.
 * @property backlogMillis reading that waits at an engine on average.
 * @property expectedMillis expected time until a model begins its answer.
 */
public class SizingOutlook(
    public val leftMillis: Double,
    public val backlogMillis: Double,
    public val expectedMillis: (String) -> Double,
)
