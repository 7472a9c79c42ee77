package dev.almondhaven.gateway.call

import dev.almondhaven.decision.traffic.EndpointPlacement
import dev.almondhaven.decision.traffic.ModelCascade
import dev.almondhaven.gateway.peer.PeerMessenger
import dev.almondhaven.gateway.state.ConfigurationWatcher
import dev.almondhaven.gateway.state.Lifecycle
import dev.almondhaven.gateway.state.PromptQuarantineController
import dev.almondhaven.gateway.state.RollOutController
import dev.almondhaven.gateway.state.RoutingState
import dev.almondhaven.model.NanoClock
import io.netty.channel.EventLoop
import org.apache.commons.rng.UniformRandomProvider

/** The components and shared state of the router that serving a request needs. */
internal class CallContext(
    val routing: RoutingState,
    val configurationWatcher: ConfigurationWatcher,
    val rollOuts: RollOutController,
    val promptQuarantine: PromptQuarantineController,
    val placement: EndpointPlacement,
    val cascade: ModelCascade,
    val peers: PeerMessenger,
    val watchdog: Watchdog,
    val lifecycle: Lifecycle,
    val loop: EventLoop,
    val clock: NanoClock,
    val random: UniformRandomProvider,
    val bufferedBytes: BufferedBytes,
)
