package dev.almondhaven.decision.traffic

/**
 * What asking another model for a request would mean now.
 *
 * @property remainingMillis time left of the latency objective.
 * @property prefillBacklogMillis reading that waits at an engine on average.
 * @property expectedFirstTokenMillis expected time until a model begins its answer.
 */
public class EscalationConditions(
    public val remainingMillis: Double,
    public val prefillBacklogMillis: Double,
    public val expectedFirstTokenMillis: (String) -> Double,
)
