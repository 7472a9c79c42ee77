package dev.almondhaven.experiments.deployment

import kotlin.time.Duration

/** An injected fault, or its repair, at an offset from the start of a run. */
public class FaultStep(
    public val at: Duration,
    public val name: String,
    public val action: (DeploymentBench) -> Unit,
)

/**
 * The faults that are injected into a run, in order of time.
 *
 * ```
 * faultScript(length = 60.seconds) { at(5.seconds, "router 1 is killed") { it.killRouter(1) } }
 * ```
 */
public class FaultScript private constructor(
    public val length: Duration,
    public val steps: List<FaultStep>,
) {
    /** Collects steps, which may be added in any order. */
    public class Builder internal constructor(
        private val length: Duration,
    ) {
        private val steps = mutableListOf<FaultStep>()

        /** Adds a step that runs [at] this offset from the start. */
        public fun at(
            at: Duration,
            name: String,
            action: (DeploymentBench) -> Unit,
        ) {
            require(at <= length) { "'$name' at $at is after the end of the script at $length" }
            steps += FaultStep(at, name, action)
        }

        internal fun build(): FaultScript = FaultScript(length, steps.sortedBy { it.at })
    }
}

/** Builds a [FaultScript] that lasts for [length]. */
public fun faultScript(
    length: Duration,
    configure: FaultScript.Builder.() -> Unit,
): FaultScript = FaultScript.Builder(length).apply(configure).build()
