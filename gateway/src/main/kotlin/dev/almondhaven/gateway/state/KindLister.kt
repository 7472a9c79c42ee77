package dev.almondhaven.gateway.state

import dev.almondhaven.platform.StoreCall
import dev.almondhaven.platform.StoreKind
import dev.almondhaven.platform.StoredObject

/**
 * The objects of one kind, joined from the pages of a list.
 *
 * @property revision the revision to watch from: each page holds at least what the store had at this revision.
 */
internal class KindListing(
    val objects: List<StoredObject>,
    val revision: Long,
)

/**
 * Lists the objects of [kind] page by page. The store may change between two pages, also objects of pages that have
 * already been read, so the listing as a whole is only as recent as its first page.
 *
 * @property call sends a call to the store; the response is null if the call failed.
 */
internal class KindLister(
    private val kind: StoreKind,
    private val call: (call: StoreCall, onResponse: (StoreResponse?) -> Unit) -> Unit,
) {
    /** Calls [onListing], or [onFailure] with the response that holds no page, or null if there was none. */
    fun list(
        onFailure: (StoreResponse?) -> Unit,
        onListing: (KindListing) -> Unit,
    ): Unit = readPage(after = null, previous = null, onFailure, onListing)

    private fun readPage(
        after: String?,
        previous: KindListing?,
        onFailure: (StoreResponse?) -> Unit,
        onListing: (KindListing) -> Unit,
    ): Unit =
        call(StoreCall.list(kind, after)) { response ->
            val page = response?.takeIf { it.status == OK }?.let { StoreCall.page(kind, it.body) }
            if (page == null) return@call onFailure(response)
            val listing =
                KindListing(
                    previous?.objects.orEmpty() + page.objects,
                    minOf(previous?.revision ?: page.revision, page.revision),
                )
            val next = page.next
            if (next == null) onListing(listing) else readPage(next, listing, onFailure, onListing)
        }

    private companion object {
        const val OK = 200
    }
}
