package dev.almondhaven.router

import dev.almondhaven.decision.choice.ExplorationBudget
import dev.almondhaven.decision.choice.ExplorationLimits
import dev.almondhaven.decision.rollout.RollOutReport
import dev.almondhaven.decision.rollout.TrialLimits
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.RouterId
import dev.almondhaven.router.controller.CatalogueHolder
import dev.almondhaven.router.controller.ChoiceController
import dev.almondhaven.router.controller.RatingPoller
import dev.almondhaven.router.filter.CascadeRunner
import dev.almondhaven.router.filter.ModelChoiceFilter
import dev.almondhaven.router.filter.RequestPlanner
import dev.almondhaven.router.filter.StepRunner
import dev.almondhaven.router.filter.VersionLoad
import dev.almondhaven.router.filter.VersionPolicy
import dev.almondhaven.router.peer.EvidenceTopic
import dev.almondhaven.router.peer.GossipTopic
import dev.almondhaven.router.peer.PeerHandler
import dev.almondhaven.router.peer.QuarantineTopic
import dev.almondhaven.router.settings.ChoiceSettings
import kotlinx.serialization.json.Json
import org.apache.commons.rng.simple.RandomSource
import java.time.InstantSource

/** Builds and owns the components that select the model version of each request. */
internal class ModelSelectionModule(
    private val catalogueHolder: CatalogueHolder,
    self: RouterId,
    private val settings: ChoiceSettings,
    private val clock: NanoClock,
    private val routerCount: () -> Int,
) : AutoCloseable {
    private val controller = ChoiceController(self, catalogueHolder, ::trialLimits)
    private val poller =
        settings.ratingsAddress?.let { RatingPoller(it, settings.ratingsInterval, controller::rate) }

    /** Decides which versions a request may run on; checked again before each dispatch. */
    val policy: VersionPolicy = VersionPolicy(catalogueHolder) { controller.snapshot.quarantines }

    /** Gossip topics that share quarantines and quality evidence between routers. */
    val topics: List<GossipTopic> = listOf(QuarantineTopic(controller), EvidenceTopic(controller))

    /** Creates the filter that selects a version for each request. */
    fun createFilter(): ModelChoiceFilter {
        val load = VersionLoad(catalogueHolder, routerCount)
        val limits = ExplorationLimits(settings.exploredRequestShare, settings.exploredCostShare)
        val exploration = ExplorationBudget(limits, RandomSource.XO_RO_SHI_RO_128_PP.create())
        val planner = RequestPlanner(policy, controller, exploration, load, clock, InstantSource.system())
        val steps = StepRunner(controller, load, clock)
        return ModelChoiceFilter(planner, steps, CascadeRunner(steps, clock))
    }

    /** Returns the roll-out report as JSON; operators read it over the peer protocol. */
    val rollOutReportHandler: PeerHandler =
        PeerHandler { Json.encodeToString(RollOutReport.serializer(), controller.report()) }

    fun start() {
        controller.start()
        poller?.start()
    }

    override fun close() {
        poller?.close()
        controller.close()
    }

    private fun trialLimits(): TrialLimits =
        TrialLimits(rollOutFalseAlarm = settings.rollOutFalseAlarm, routers = routerCount())
}
