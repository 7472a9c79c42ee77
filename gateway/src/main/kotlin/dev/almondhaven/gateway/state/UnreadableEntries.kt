package dev.almondhaven.gateway.state

import dev.almondhaven.model.LogEvent
import dev.almondhaven.platform.StoreKind
import dev.almondhaven.platform.StoredObject
import io.github.oshai.kotlinlogging.KotlinLogging

private val logger = KotlinLogging.logger {}

/**
 * Logs each entry of one kind that can't be read once, and again only if it could be read in between, so that a writer
 * that repeats itself doesn't fill the log.
 */
internal class UnreadableEntries(
    private val kind: StoreKind,
) {
    private val logged = HashSet<String>()

    /** What [decode] makes of [entry]; null if it can't be read. */
    fun <T : Any> read(
        entry: StoredObject,
        decode: (StoredObject) -> T?,
    ): T? {
        val decoded = decode(entry)
        if (decoded != null) logged -= entry.name else log(entry)
        return decoded
    }

    private fun log(entry: StoredObject) {
        if (logged.size >= MAX_LOGGED || !logged.add(entry.name)) return
        LogEvent.STORE_ENTRY_UNREADABLE.log(logger) {
            "kind=$kind name=${entry.name.take(LOGGED_NAME_CHARACTERS)} revision=${entry.revision}"
        }
    }

    private companion object {
        /** Bounds what is kept of entries whose writer names each one anew. */
        const val MAX_LOGGED = 1_000
        const val LOGGED_NAME_CHARACTERS = 100
    }
}
