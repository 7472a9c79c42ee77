package dev.almondhaven.gateway.relay

import dev.almondhaven.platform.StoreKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What a router that follows another one asks: `GET /state?since=KIND:REVISION,...&wait=MILLISECONDS`.
 *
 * @property since revision of the store up to which the asking router knows each kind; 0 for nothing.
 * @property wait how long the answer may be held back while there is nothing new.
 */
internal class RelayQuery(
    val since: Map<StoreKind, Long>,
    val wait: Duration,
) {
    /** Path and query of the request. */
    fun encode(): String =
        since.entries.joinToString(",", "$PATH?since=", "&wait=${wait.inWholeMilliseconds}") { (kind, revision) ->
            "$kind:$revision"
        }

    companion object {
        const val PATH = "/state"

        /** A follower never asks for longer, and its connection must not stay silent for longer either. */
        private const val LONGEST_WAIT_MILLIS = 10_000L

        /** Decodes the path and query [target], or returns null if it is not such a request. */
        fun decode(target: String): RelayQuery? {
            if (target.substringBefore('?') != PATH) return null
            val parameters =
                target.substringAfter('?', "").split('&').associate {
                    it.substringBefore('=') to it.substringAfter('=', "")
                }
            val since = parameters["since"]?.split(',')?.map { decodeKind(it) ?: return null } ?: return null
            val wait = parameters["wait"]?.toLongOrNull()?.takeIf { it in 0..LONGEST_WAIT_MILLIS } ?: return null
            return RelayQuery(since.toMap(), wait.milliseconds)
        }

        private fun decodeKind(text: String): Pair<StoreKind, Long>? {
            val name = text.substringBefore(':')
            val kind = StoreKind.entries.firstOrNull { it.name == name } ?: return null
            val revision = text.substringAfter(':', "").toLongOrNull()?.takeIf { it >= 0 } ?: return null
            return kind to revision
        }
    }
}
