package dev.almondhaven.gateway.net

import dev.almondhaven.gateway.call.RouterResponse

/** The way back to one caller, for one request. */
internal interface ResponseWriter {
    /** Sends a whole answer. */
    fun answer(
        status: Int,
        headers: List<Pair<String, String>>,
        body: ByteArray,
    )

    /** Sends an answer of the router's own. */
    fun answer(own: RouterResponse)

    /** Sends the head of an answer whose length is not known yet. */
    fun begin(
        status: Int,
        headers: List<Pair<String, String>>,
    )

    /** Sends more of an answer that was begun; false if the caller takes it too slowly to go on at once. */
    fun more(bytes: ByteArray): Boolean

    /** Ends an answer that was begun as complete. */
    fun complete()

    /** Breaks the connection off, so that what was begun does not look complete. */
    fun abort()
}
