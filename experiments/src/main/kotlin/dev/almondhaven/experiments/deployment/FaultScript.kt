package dev.almondhaven.experiments.deployment

import kotlin.time.Duration

/** A fault, or its repair, at a moment of a run. */
public class FaultStep(
    public val at: Duration,
    public val name: String,
    public val action: (DeploymentBench) -> Unit,
)

/**
 * What goes wrong in a run and when.
 *
 * ```
 * faultScript(length = 60.seconds) { at(5.seconds, "router 1 is killed") { it.killRouter(1) } }
 * ```
 */
public class FaultScript private constructor(
    public val length: Duration,
    public val steps: List<FaultStep>,
) {
    /** Collects steps in any order. */
    public class Builder internal constructor(
        private val length: Duration,
    ) {
        private val steps = mutableListOf<FaultStep>()

        /** Adds a step [at] a moment after the start. */
        public fun at(
            at: Duration,
            name: String,
            action: (DeploymentBench) -> Unit,
        ) {
            require(at <= length) { "'$name' at $at is behind the end at $length" }
            steps += FaultStep(at, name, action)
        }

        internal fun build(): FaultScript = FaultScript(length, steps.sortedBy { it.at })
    }
}

/** Builds a [FaultScript] of [length]. */
public fun faultScript(
    length: Duration,
    configure: FaultScript.Builder.() -> Unit,
): FaultScript = FaultScript.Builder(length).apply(configure).build()
