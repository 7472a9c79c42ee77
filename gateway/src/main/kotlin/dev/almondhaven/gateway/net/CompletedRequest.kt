package dev.almondhaven.gateway.net

/** A request that has got its response already. */
internal object CompletedRequest : InFlightRequest {
    override fun onCallerDisconnected() = Unit

    override fun onCallerWritable() = Unit
}
