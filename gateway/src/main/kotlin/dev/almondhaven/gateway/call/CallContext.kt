package dev.almondhaven.gateway.call

import dev.almondhaven.decision.traffic.EndpointPlacement
import dev.almondhaven.decision.traffic.ModelCascade
import dev.almondhaven.gateway.peer.PeerLink
import dev.almondhaven.gateway.state.ConfigurationProof
import dev.almondhaven.gateway.state.Directory
import dev.almondhaven.gateway.state.Lifecycle
import dev.almondhaven.gateway.state.RollOuts
import dev.almondhaven.model.NanoClock
import io.netty.channel.EventLoop
import org.apache.commons.rng.UniformRandomProvider

/** What serving a request needs of the rest of the router. */
internal class CallContext(
    val directory: Directory,
    val proof: ConfigurationProof,
    val rollOuts: RollOuts,
    val placement: EndpointPlacement,
    val sizing: ModelCascade,
    val peers: PeerLink,
    val watchdog: Watchdog,
    val lifecycle: Lifecycle,
    val loop: EventLoop,
    val clock: NanoClock,
    val random: UniformRandomProvider,
)
