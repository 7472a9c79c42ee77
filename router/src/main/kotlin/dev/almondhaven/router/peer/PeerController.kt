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

/** The duty that runs the gossip between routers and publishes the view of the fleet. */
internal class PeerController(
    private val network: PeerNetwork,
    private val settings: PeerSettings,
    holder: ConfigurationHolder,
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
    private val exchange = GossipExchange(membership, holder, freshness, network.topics)
    private val vmList = settings.vmList?.let { VmListPoller(it) }
    private var published: FleetView = FleetView.ofSelf(network.self)
    private val duty: ActorThread<PeerTask>

    init {
        membership.setContactAddresses(settings.seeds)
        duty = ActorThread.start("peers", RING, TICK, ::tick, ::handle)
        network.handlers.register(GossipExchange.PROBE, ::answerProbe)
        network.handlers.register(GossipExchange.INDIRECT_PROBE, ::relayProbe)
        network.handlers.register(GossipExchange.FETCH) { exchange.answerFetch(it) }
    }

    /** Messages that found the ring full. */
    val rejected: Long get() = duty.rejected

    private fun answerProbe(body: String): String {
        val answer = CompletableFuture<String>()
        require(duty.offer(PeerTask.Probe(body, answer))) { "more peer messages than this router can take" }
        return await(answer)
    }

    private fun relayProbe(body: String): String {
        val reached = CompletableFuture<Boolean>()
        require(duty.offer(PeerTask.Relay(body, reached))) { "more peer messages than this router can take" }
        return GossipExchange.indirectAnswer(await(reached))
    }

    private fun <T> await(future: CompletableFuture<T>): T =
        try {
            future.get(HANDLING_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (exception: TimeoutException) {
            throw IllegalArgumentException("no answer in time", exception)
        }

    private fun tick() {
        vmList?.poll()?.let { membership.setContactAddresses(settings.seeds + it) }
        exchange.tick(clock.nanos()).forEach(::send)
        publish()
    }

    private fun handle(message: PeerTask) {
        when (message) {
            is PeerTask.Probe -> answer(message)
            is PeerTask.Relay -> relay(message)
            is PeerTask.Completed -> completed(message)
            is PeerTask.Leave -> leave(message)
        }
        publish()
    }

    private fun answer(message: PeerTask.Probe) {
        try {
            message.answer.complete(exchange.answerProbe(clock.nanos(), message.body))
        } catch (exception: IllegalArgumentException) {
            message.answer.completeExceptionally(exception)
        }
    }

    private fun relay(message: PeerTask.Relay) {
        val request = exchange.relayedProbe(clock.nanos(), message.body)
        post(request).thenAccept { message.reached.complete(it.isRight()) }
    }

    private fun completed(message: PeerTask.Completed) {
        exchange.onCompleted(clock.nanos(), message.request, message.answer.getOrNull()).forEach(::send)
    }

    private fun leave(message: PeerTask.Leave) {
        val posts = exchange.leave(clock.nanos()).map { post(it) }
        CompletableFuture.allOf(*posts.toTypedArray()).thenRun { message.told.complete(Unit) }
    }

    private fun send(request: PeerRequest) {
        post(request)
    }

    private fun post(request: PeerRequest) =
        network.transport.post(request.to, request.path, request.body).whenComplete { answer, _ ->
            if (answer != null) duty.offer(PeerTask.Completed(request, answer))
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
        val old = before.members.map { it.id }.toSet()
        val new = after.members.map { it.id }.toSet()
        (new - old).forEach { log(LogEvent.MEMBER_JOINED, it, after) }
        (old - new).forEach { log(LogEvent.MEMBER_LEFT, it, after) }
    }

    private fun log(
        event: LogEvent,
        id: RouterId,
        view: FleetView,
    ): Unit = event.log(logger) { "router=$id members=${view.members.size}" }

    /** Tells a few other routers that this one stops, and stops. */
    override fun close() {
        val told = CompletableFuture<Unit>()
        if (duty.offer(PeerTask.Leave(told))) {
            runCatching { told.get(HANDLING_TIMEOUT.inWholeMilliseconds, TimeUnit.MILLISECONDS) }
        }
        duty.stop()
        vmList?.close()
    }

    private companion object {
        const val RING = 1_024
        val TICK: Duration = 100.milliseconds
        val HANDLING_TIMEOUT: Duration = 450.milliseconds
    }
}
