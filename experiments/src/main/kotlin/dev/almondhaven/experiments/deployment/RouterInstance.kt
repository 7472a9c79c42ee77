package dev.almondhaven.experiments.deployment

import dev.almondhaven.router.settings.RouterSettings

/** A router under test, in a separate process or in this one. */
public interface RouterInstance {
    /** Settings it runs with. */
    public val settings: RouterSettings

    /** The `ip:port` at which it accepts requests of callers. */
    public val address: String get() = settings.process.listen

    /** The process that it runs in. */
    public val process: ProcessHandle

    /** Kills it without a graceful shutdown, as when its VM fails. */
    public fun kill()

    /** Shuts it down gracefully and waits until it has ended. */
    public fun stop()
}

/** Starts routers. */
public fun interface RouterStarter {
    public fun start(settings: RouterSettings): RouterInstance
}
