package dev.almondhaven.experiments.deployment

import dev.almondhaven.router.Router
import dev.almondhaven.router.settings.RouterSettings

/** A router in this process, for the tests. [kill] shuts it down gracefully, since it can't be killed on its own. */
public class InProcessRouter private constructor(
    override val settings: RouterSettings,
    private val router: Router,
) : RouterInstance {
    override val process: ProcessHandle get() = ProcessHandle.current()

    override fun kill(): Unit = stop()

    override fun stop(): Unit = router.close()

    public companion object {
        /** Starts routers in this process. */
        public val STARTER: RouterStarter = RouterStarter { InProcessRouter(it, Router.start(it)) }
    }
}
