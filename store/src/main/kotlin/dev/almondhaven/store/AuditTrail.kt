package dev.almondhaven.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.almondhaven.model.Generation
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** An inconsistency in the audit trail, such as an altered or missing entry. */
public data class AuditFault(
    public val generation: Generation,
    public val detail: String,
) {
    override fun toString(): String = "generation $generation: $detail"
}

/**
 * All accepted entries, oldest first, and the faults found in their hash chain.
 *
 * @property isNewestEntryUnstored whether the newest entry is known from the head only; the next publisher
 *   stores its object.
 */
public data class AuditReport(
    public val records: List<ConfigurationRecord>,
    public val faults: List<AuditFault>,
    public val isNewestEntryUnstored: Boolean,
)

/** Reads the accepted entries and verifies their hash chain. */
public class AuditTrail(
    private val objects: ObjectStore,
) {
    /** Reads and verifies the whole trail. */
    public fun read(): Either<PlatformError, AuditReport> {
        val head = ConfigurationStore(objects).head().fold({ return it.left() }, { it?.head ?: ConfigurationHead() })
        val stored = storedEntries().fold({ return it.left() }, { it })
        val unstored = head.latest?.takeIf { latest -> stored.none { it.record.generation == latest.generation } }
        val chain =
            (
                stored +
                    listOfNotNull(
                        unstored?.let { ChainLink(it, hashOf(it)) },
                    )
            ).sortedBy { it.record.generation }
        return AuditReport(chain.map { it.record }, faults(chain, head), unstored != null).right()
    }

    private class ChainLink(
        val record: ConfigurationRecord,
        val computedHash: String,
    )

    private fun storedEntries(): Either<PlatformError, List<ChainLink>> {
        val links = mutableListOf<ChainLink>()
        var after: ObjectKey? = null
        do {
            val page = objects.list(ConfigurationStore.ENTRY_PREFIX, after).fold({ return it.left() }, { it })
            page.objects.forEach { stored -> links += parse(stored).fold({ return it.left() }, { it }) }
            after = page.next
        } while (after != null)
        return links.right()
    }

    /** Hashes the JSON as stored, so that fields unknown to this release are covered by the hash too. */
    private fun parse(stored: StoredObject): Either<PlatformError, ChainLink> =
        try {
            val element = json.parseToJsonElement(stored.value)
            val record = json.decodeFromJsonElement(ConfigurationRecord.serializer(), element)
            ChainLink(record, CanonicalJson.digest(element, except = HASH_FIELDS)).right()
        } catch (exception: SerializationException) {
            PlatformError.NoAnswer("unreadable entry ${stored.key}: ${exception.message}").left()
        }

    private fun hashOf(record: ConfigurationRecord): String =
        CanonicalJson.digest(ConfigurationRecord.serializer(), record, except = HASH_FIELDS)

    private fun faults(
        chain: List<ChainLink>,
        head: ConfigurationHead,
    ): List<AuditFault> =
        buildList {
            var expected = Generation.NONE.next()
            var previousHash = ""
            chain.forEach { link ->
                addAll(faults(link, expected, previousHash))
                expected = link.record.generation.next()
                previousHash = link.record.hash
            }
            val newest = chain.lastOrNull()?.record?.generation ?: Generation.NONE
            if (newest !=
                head.generation
            ) {
                add(
                    AuditFault(
                        head.generation,
                        "this generation is in force, but the newest entry has generation $newest",
                    ),
                )
            }
            val latest = head.latest?.hash.orEmpty()
            if (latest !=
                previousHash
            ) {
                add(AuditFault(head.generation, "the hash of the newest entry differs from the one in the head"))
            }
        }

    private fun faults(
        link: ChainLink,
        expected: Generation,
        previousHash: String,
    ): List<AuditFault> =
        buildList {
            val record = link.record
            if (record.generation !=
                expected
            ) {
                add(AuditFault(record.generation, "expected generation $expected at this position"))
            }
            if (record.previousHash !=
                previousHash
            ) {
                add(AuditFault(record.generation, "previousHash is not the hash of the preceding entry"))
            }
            if (record.hash !=
                link.computedHash
            ) {
                add(AuditFault(record.generation, "the entry was altered: its hash differs"))
            }
        }

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
        val HASH_FIELDS = setOf(ConfigurationStore.HASH_FIELD)
    }
}
