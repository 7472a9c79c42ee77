package dev.almondhaven.decision.traffic

/**
 * Prompt parts that endpoints have answered, the most recently answered ones. A part stops counting as proven when
 * requests with it meet [MAX_CRASHES] crashes without an answer in between. Not thread-safe.
 */
internal class AnsweredParts {
    private class Record(
        var crashes: Int = 0,
        var lastCrash: EndpointCrash? = null,
    )

    private val records =
        object : LinkedHashMap<String, Record>(INITIAL_ENTRIES, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<String, Record>): Boolean = size > MAX_PARTS
        }

    fun recordAnswer(parts: Collection<String>) {
        parts.forEach { part -> records.getOrPut(part, ::Record).crashes = 0 }
    }

    /** Records that requests with [parts] met [crash]; further requests that met the same crash count once. */
    fun recordCrash(
        parts: Collection<String>,
        crash: EndpointCrash,
    ): Unit =
        parts.mapNotNull(records::get).forEach { record ->
            if (record.lastCrash != crash) record.crashes++
            record.lastCrash = crash
        }

    fun isProven(part: String): Boolean = (records[part]?.crashes ?: MAX_CRASHES) < MAX_CRASHES

    private companion object {
        const val MAX_PARTS = 16_384
        const val INITIAL_ENTRIES = 64
        const val LOAD_FACTOR = 0.75f

        /** One crash may be met by chance; a part in common use is answered before a second one. */
        const val MAX_CRASHES = 2
    }
}
