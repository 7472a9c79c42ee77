package dev.almondhaven.router.session

import dev.almondhaven.router.controller.CatalogueHolder
import dev.almondhaven.router.filter.RequestFilter
import dev.almondhaven.router.filter.SessionFilter
import dev.almondhaven.router.peer.PeerNetwork
import dev.almondhaven.router.settings.SessionSettings

/** Builds and owns the components that keep each session on its model version. */
internal class SessionModule(
    private val settings: SessionSettings,
    peers: PeerNetwork,
) {
    private val localDirectory = LocalSessionDirectory(settings)
    private val directory = PeerSessionDirectory(localDirectory, peers.view, peers.transport, settings.directoryTimeout)

    init {
        peers.handlers.register(PeerSessionDirectory.LOOK_UP_PATH, directory.lookUpHandler)
        peers.handlers.register(PeerSessionDirectory.PIN_PATH, directory.pinHandler)
    }

    /** Number of sessions identified by an id that this router remembers. */
    val rememberedCount: Long get() = localDirectory.size

    /** Creates the filter that pins requests to the version of their session. */
    fun createFilter(catalogueHolder: CatalogueHolder): RequestFilter =
        SessionFilter(catalogueHolder, settings.createTokensOrNull(), directory, System::currentTimeMillis)
}
