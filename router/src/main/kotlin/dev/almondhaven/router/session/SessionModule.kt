package dev.almondhaven.router.session

import dev.almondhaven.router.controller.CatalogueHolder
import dev.almondhaven.router.filter.RequestFilter
import dev.almondhaven.router.filter.SessionFilter
import dev.almondhaven.router.peer.PeerNetwork
import dev.almondhaven.router.settings.SessionSettings

/** What a router needs to keep sessions on their version, put together from settings. */
internal class SessionModule(
    private val settings: SessionSettings,
    peers: PeerNetwork,
) {
    private val local = LocalSessionDirectory(settings)
    private val directory = PeerSessionDirectory(local, peers.view, peers.transport, settings.directoryTimeout)

    init {
        peers.handlers.register(PeerSessionDirectory.LOOK_UP_PATH, directory.lookUpHandler)
        peers.handlers.register(PeerSessionDirectory.PIN_PATH, directory.pinHandler)
    }

    /** Sessions known by their id that this router remembers. */
    val remembered: Long get() = local.size

    /** The filter that pins requests to their session's version. */
    fun filter(holder: CatalogueHolder): RequestFilter =
        SessionFilter(holder, settings.tokens(), directory, System::currentTimeMillis)
}
