package dev.almondhaven.experiments

/** A repeatable measurement, run with `bin/measure NAME`. */
public interface Experiment {
    /** Name on the command line; the report goes to `docs/measurements/NAME.md`. */
    public val name: String

    /** One sentence for the help text. */
    public val about: String

    /** Runs the measurement and writes its results to [report]. */
    public fun run(report: ExperimentReport)
}
