package dev.almondhaven.gateway.peer

import java.net.InetSocketAddress

/** Tells other routers what this one knows about a roll-out. Announcements may be lost. */
internal interface RollOutAnnouncer {
    /** Tells all routers the version that a session runs on, or ran on until now. */
    fun announceSession(announcement: SessionAnnouncement)

    /**
     * Tells what this router has seen of a canary of [service]: the few routers that pool the counts for the service
     * or, if the canary is [rejected], all routers.
     */
    fun announceCanary(
        service: String,
        announcements: List<CanaryAnnouncement>,
        rejected: Boolean,
    )

    /** Sends [statement], which asks for the same, to a few routers, other ones each time. */
    fun askRollOut(statement: RollOutStatement)

    /** Answers the router at [address] that asked; [sessions] must stay on their version. */
    fun answerRollOut(
        address: InetSocketAddress,
        statement: RollOutStatement,
        sessions: List<SessionAnnouncement>,
    )
}
