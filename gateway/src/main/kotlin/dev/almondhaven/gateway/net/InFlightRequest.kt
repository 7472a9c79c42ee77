package dev.almondhaven.gateway.net

/** A request that is being served. */
internal interface InFlightRequest {
    /** The caller is gone: all work for it ends. */
    fun onCallerDisconnected()

    /** The caller can take more of its answer again. */
    fun onCallerWritable()
}
