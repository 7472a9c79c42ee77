package dev.almondhaven.gateway.state

/** A response of the platform's store with a status other than 429 and 5xx, which count as failures of the store. */
internal class StoreResponse(
    val status: Int,
    val body: String,
)
