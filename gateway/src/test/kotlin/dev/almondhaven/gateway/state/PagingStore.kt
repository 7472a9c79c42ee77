package dev.almondhaven.gateway.state

import dev.almondhaven.platform.StoreCall
import java.util.TreeMap
import kotlin.time.Duration

/** A store that returns lists in pages of [pageSize], and all changes since the revision of a watch at once. */
internal class PagingStore(
    private val pageSize: Int,
) {
    private class Change(
        val revision: Long,
        val name: String,
        val objectRevision: Long,
        val removed: Boolean,
    )

    private val objects = TreeMap<String, Long>()
    private val changes = ArrayList<Change>()
    private var revision = 1L

    /** The revisions of the objects by their names. */
    val contents: Map<String, Long> get() = objects.toMap()

    fun put(name: String) {
        revision++
        objects[name] = revision
        changes += Change(revision, name, revision, removed = false)
    }

    fun remove(name: String) {
        val last = objects.remove(name) ?: return
        revision++
        changes += Change(revision, name, last, removed = true)
    }

    /** A client whose calls wait until [answer]. */
    inner class Client : StoreClient {
        private var pending: (() -> Unit)? = null
        override val recoveredAt: Long? = null
        override val isReachable = true
        override val callCounts = StoreCallCounts()

        /** Answers the call that waits, if there is one. */
        fun answer() {
            val answer = pending
            pending = null
            answer?.invoke()
        }

        override fun call(
            call: StoreCall,
            timeout: Duration,
            onResponse: (StoreResponse?) -> Unit,
        ): () -> Unit {
            pending = { onResponse(StoreResponse(OK, body(call.path))) }
            return { pending = null }
        }

        override fun onRecovery(action: () -> Unit) = Unit
    }

    private fun body(path: String): String {
        val watched = path.substringAfter("watch=", "").substringBefore('&').toLongOrNull()
        return if (watched != null) events(watched) else page(path.substringAfter("after=", ""))
    }

    private fun page(after: String): String {
        val rest = objects.tailMap(after, false).entries.toList()
        val items = rest.take(pageSize).joinToString(",") { (name, at) -> encode(name, at) }
        return """{"items":[$items],"truncated":${rest.size > pageSize},"currentRev":$revision}"""
    }

    private fun events(since: Long): String {
        val events =
            changes.filter { it.revision > since }.joinToString(",") {
                """{"object":${encode(it.name, it.objectRevision)},"removed":${it.removed}}"""
            }
        return """{"events":[$events],"currentRev":$revision}"""
    }

    private fun encode(
        name: String,
        revision: Long,
    ) = """{"metadata":{"name":"$name","revision":$revision},"spec":{},"status":null}"""

    private companion object {
        const val OK = 200
    }
}
