package dev.almondhaven.router.peer

import dev.almondhaven.decision.distribution.ConfigurationFreshness
import dev.almondhaven.decision.distribution.ConfigurationHolder
import dev.almondhaven.decision.distribution.GossipExchange
import dev.almondhaven.decision.distribution.PeerRequest
import dev.almondhaven.decision.membership.FleetView
import dev.almondhaven.decision.membership.Membership
import dev.almondhaven.decision.membership.MembershipSettings
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.RouterId
import dev.almondhaven.router.controller.ActorThread
import dev.almondhaven.router.settings.PeerSettings
import io.github.oshai.kotlinlogging.KotlinLogging
import org.apache.commons.rng.simple.RandomSource
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/** Runs the gossip protocol between routers on a thread of its own and publishes the view of the fleet. */
internal class PeerController(
    private val network: PeerNetwork,
    private val settings: PeerSettings,
    configurationHolder: ConfigurationHolder,
    freshness: ConfigurationFreshness,
    private val clock: NanoClock,
) : AutoCloseable {
    private val membership =
        Membership(
            network.self,
            MembershipSettings(settings.probeInterval),
            RandomSource.XO_RO_SHI_RO_128_PP.create(),
            clock.nanos(),
        )
    private val gossip = GossipExchange(membership, configurationHolder, freshness, network.topics)
    private val vmListPoller = settings.vmList?.let { VmListPoller(it) }
    private var published: FleetView = FleetView.ofSelf(network.self)
    private val actor: ActorThread<PeerTask>

    init {
        membership.setContactAddresses(settings.seeds)
        actor = ActorThread.start("peers", MAILBOX_CAPACITY, TICK_INTERVAL, ::tick, ::runTask)
        network.handlers.register(GossipExchange.PROBE, ::handleProbe)
        network.handlers.register(GossipExchange.INDIRECT_PROBE, ::handleIndirectProbe)
        network.handlers.register(GossipExchange.FETCH) { gossip.answerFetch(it) }
    }

    /** Number of tasks that were rejected because the mailbox was full. */
    val rejected: Long get() = actor.rejected

    private fun handleProbe(body: String): String {
        val response = CompletableFuture<String>()
        require(actor.offer(PeerTask.AnswerProbe(body, response))) { "the router has too many queued peer messages" }
        return await(response)
    }

    private fun handleIndirectProbe(body: String): String {
        val reached = CompletableFuture<Boolean>()
        require(actor.offer(PeerTask.RelayProbe(body, reached))) { "the router has too many queued peer messages" }
        return GossipExchange.indirectAnswer(await(reached))
    }

    private fun <T> await(future: CompletableFuture<T>): T =
        try {
            future.get(HANDLING_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (exception: TimeoutException) {
            throw IllegalArgumentException("the peer message was not handled in time", exception)
        }

    private fun tick() {
        vmListPoller?.poll()?.let { membership.setContactAddresses(settings.seeds + it) }
        gossip.tick(clock.nanos()).forEach(::send)
        publish()
    }

    private fun runTask(task: PeerTask) {
        when (task) {
            is PeerTask.AnswerProbe -> answerProbe(task)
            is PeerTask.RelayProbe -> relayProbe(task)
            is PeerTask.CompleteRequest -> completeRequest(task)
            is PeerTask.Leave -> leave(task)
        }
        publish()
    }

    private fun answerProbe(task: PeerTask.AnswerProbe) {
        try {
            task.response.complete(gossip.answerProbe(clock.nanos(), task.body))
        } catch (exception: IllegalArgumentException) {
            task.response.completeExceptionally(exception)
        }
    }

    private fun relayProbe(task: PeerTask.RelayProbe) {
        val request = gossip.relayedProbe(clock.nanos(), task.body)
        post(request).thenAccept { task.reached.complete(it.isRight()) }
    }

    private fun completeRequest(task: PeerTask.CompleteRequest) {
        gossip.onCompleted(clock.nanos(), task.request, task.result.getOrNull()).forEach(::send)
    }

    private fun leave(task: PeerTask.Leave) {
        val posts = gossip.leave(clock.nanos()).map { post(it) }
        CompletableFuture.allOf(*posts.toTypedArray()).thenRun { task.notified.complete(Unit) }
    }

    private fun send(request: PeerRequest) {
        post(request)
    }

    private fun post(request: PeerRequest) =
        network.transport.post(request.to, request.path, request.body).whenComplete { result, _ ->
            if (result != null) actor.offer(PeerTask.CompleteRequest(request, result))
        }

    private fun publish() {
        val before = published
        val after = membership.view
        network.publish(after, membership.suspects)
        published = after
        if (before !== after) logChanges(before, after)
    }

    private fun logChanges(
        before: FleetView,
        after: FleetView,
    ) {
        val oldIds = before.members.map { it.id }.toSet()
        val newIds = after.members.map { it.id }.toSet()
        (newIds - oldIds).forEach { log(LogEvent.MEMBER_JOINED, it, after) }
        (oldIds - newIds).forEach { log(LogEvent.MEMBER_LEFT, it, after) }
    }

    private fun log(
        event: LogEvent,
        id: RouterId,
        view: FleetView,
    ): Unit = event.log(logger) { "router=$id members=${view.members.size}" }

    /** Notifies a few other routers that this one leaves, and stops the thread. */
    override fun close() {
        val notified = CompletableFuture<Unit>()
        if (actor.offer(PeerTask.Leave(notified))) {
            runCatching { notified.get(HANDLING_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS) }
        }
        actor.stop()
        vmListPoller?.close()
    }

    private companion object {
        const val MAILBOX_CAPACITY = 1_024
        val TICK_INTERVAL: Duration = 100.milliseconds
        val HANDLING_TIMEOUT: Duration = 450.milliseconds
    }
}
