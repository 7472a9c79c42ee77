package dev.almondhaven.gateway.net

/** A request that is being served. */
internal interface RequestInWork {
    /** The caller is gone: all work for it ends. */
    fun callerLeft()

    /** The caller can take more of its answer again. */
    fun callerReady()
}
