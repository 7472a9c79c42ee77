package dev.almondhaven.gateway.state

/** An answer of the platform's store that neither failed nor turned the call away. */
internal class StoreResponse(
    val status: Int,
    val body: String,
)
