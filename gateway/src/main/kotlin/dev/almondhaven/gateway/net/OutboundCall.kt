package dev.almondhaven.gateway.net

/** A request that was handed to a [ConnectionPool], on its way or in work. */
internal class OutboundCall {
    private var connection: OutboundConnection? = null

    /** Whether the caller has lost interest; a connection that opens afterwards is kept for others. */
    var cancelled = false
        private set

    fun attach(connection: OutboundConnection) {
        this.connection = connection
    }

    /** Ends the request, and by that its work at the other end. Must not be called after its answer has ended. */
    fun cancel() {
        cancelled = true
        connection?.cancel()
    }

    fun setAutoRead(enabled: Boolean) {
        connection?.setAutoRead(enabled)
    }
}
