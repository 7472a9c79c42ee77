package dev.almondhaven.experiments

<<<<<<< HEAD
import dev.almondhaven.experiments.claims.ClaimsExperiment
=======
import dev.almondhaven.experiments.distribution.DistributionExperiment
import dev.almondhaven.experiments.distribution.MembershipExperiment
>>>>>>> main
import dev.almondhaven.experiments.overhead.OverheadExperiment

/** Every experiment that `bin/measure` knows. */
public object Experiments {
    /** All experiments, in the order in which `bin/measure all` runs them. */
    public val ALL: List<Experiment> =
        listOf(
            OverheadExperiment(),
<<<<<<< HEAD
            ClaimsExperiment(),
=======
            MembershipExperiment(),
            DistributionExperiment(),
>>>>>>> main
        )
}
