package dev.almondhaven.decision.traffic

/**
 * The conditions under which a request could be escalated to another model now.
 *
 * @property remainingMillis time left until the latency objective.
 * @property prefillBacklogMillis average outstanding prefill per engine.
 * @property expectedFirstTokenMillis expected time to the first token of a given model.
 */
public class EscalationConditions(
    public val remainingMillis: Double,
    public val prefillBacklogMillis: Double,
    public val expectedFirstTokenMillis: (String) -> Double,
)
