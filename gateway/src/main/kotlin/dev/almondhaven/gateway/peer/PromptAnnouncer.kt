package dev.almondhaven.gateway.peer

/** Tells other routers what this one knows about prompt parts that crash endpoints. Announcements may be lost. */
internal fun interface PromptAnnouncer {
    fun announcePrompts(announcement: PromptAnnouncement)
}
