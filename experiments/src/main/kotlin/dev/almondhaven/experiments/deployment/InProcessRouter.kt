package dev.almondhaven.experiments.deployment

import dev.almondhaven.router.Router
import dev.almondhaven.router.settings.RouterSettings

/** A router in this process, for the short form in the tests. It can't be killed, only stopped. */
public class InProcessRouter private constructor(
    override val settings: RouterSettings,
    private val router: Router,
) : RouterUnit {
    override val process: ProcessHandle get() = ProcessHandle.current()

    override fun kill(): Unit = stop()

    override fun stop(): Unit = router.close()

    public companion object {
        /** Starts routers in this process. */
        public val STARTER: RouterStarter = RouterStarter { InProcessRouter(it, Router.start(it)) }
    }
}
