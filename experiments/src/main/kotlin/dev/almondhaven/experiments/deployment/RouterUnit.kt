package dev.almondhaven.experiments.deployment

import dev.almondhaven.router.settings.RouterSettings

/** A router under test, in a process of its own or in this one. */
public interface RouterUnit {
    /** Settings it runs with. */
    public val settings: RouterSettings

    /** `ip:port` for callers. */
    public val address: String get() = settings.process.listen

    /** The process that it runs in. */
    public val process: ProcessHandle

    /** Stops it without any warning, as a failing VM does. */
    public fun kill()

    /** Stops it as a planned stop does, and waits for it. */
    public fun stop()
}

/** Starts routers. */
public fun interface RouterStarter {
    public fun start(settings: RouterSettings): RouterUnit
}
