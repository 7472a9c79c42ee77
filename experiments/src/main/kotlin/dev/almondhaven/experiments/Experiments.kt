package dev.almondhaven.experiments

import dev.almondhaven.experiments.capacity.RouterCostExperiment
import dev.almondhaven.experiments.choice.ModelChoiceExperiment
import dev.almondhaven.experiments.claims.ClaimsExperiment
import dev.almondhaven.experiments.configuration.PublishingExperiment
import dev.almondhaven.experiments.configuration.SessionExperiment
import dev.almondhaven.experiments.deployment.DeploymentsExperiment
import dev.almondhaven.experiments.distribution.DistributionExperiment
import dev.almondhaven.experiments.distribution.MembershipExperiment
import dev.almondhaven.experiments.overhead.OverheadExperiment
import dev.almondhaven.experiments.serving.OverloadExperiment
import dev.almondhaven.experiments.serving.RetryExperiment
import dev.almondhaven.experiments.serving.ServingExperiment

/** The registry of experiments that `bin/measure` can run. */
public object Experiments {
    /** All experiments, in the order in which `bin/measure all` runs them. */
    public val ALL: List<Experiment> =
        listOf(
            OverheadExperiment(),
            ClaimsExperiment(),
            PublishingExperiment(),
            SessionExperiment(),
            ServingExperiment(),
            OverloadExperiment(),
            RetryExperiment(),
            MembershipExperiment(),
            DistributionExperiment(),
            DeploymentsExperiment(),
            RouterCostExperiment(),
            ModelChoiceExperiment(),
        )
}
