package dev.almondhaven.store

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.catalogue.accept
import dev.almondhaven.catalogue.differences
import dev.almondhaven.catalogue.withTimestamps
import dev.almondhaven.model.Generation
import dev.almondhaven.model.NoteId
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Decides between two attempts on the platform whether to try again, and waits. */
public fun interface RetryPause {
    /** Waits before attempt number [attempt], from 1; false means to give up. */
    public fun await(attempt: Int): Boolean

    public companion object {
        /** Gives up after [attempts] without waiting. */
        public fun immediate(attempts: Int): RetryPause = RetryPause { it <= attempts }
    }
}

/**
 * Reads the head and advances it by conditional update, one entry at a time.
 *
 * An entry is accepted at the moment the head that contains it is written. The head carries its newest entry in full;
 * before a publisher replaces a head it makes sure that this entry's own object exists, so a publisher that crashes
 * between the two writes loses nothing. `docs/design/configuration.md` weighs this against the other order.
 */
public class ConfigurationStore(
    private val objects: ObjectStore,
    private val pause: RetryPause = RetryPause.immediate(DEFAULT_ATTEMPTS),
) {
    /** The head with its version, or null before the first entry. */
    public fun head(): Either<PlatformError, VersionedHead?> =
        objects.get(HEAD_KEY).flatMap { stored ->
            if (stored == null) {
                null.right()
            } else {
                decoding { VersionedHead(decode(stored.value), stored.version) }
            }
        }

    /** The record of the entry [id], or null when its object doesn't exist (yet). */
    public fun record(id: NoteId): Either<PlatformError, ConfigurationRecord?> =
        objects.get(entryKey(id)).flatMap { stored ->
            if (stored == null) null.right() else decoding { json.decodeFromString(recordSerializer, stored.value) }
        }

    /**
     * Publishes [entry] on top of the head in force, or on top of [expected] only. Publishing an id again returns the
     * generation it was accepted as.
     */
    public fun publish(
        entry: ConfigurationEntry,
        publisher: Publisher,
        expected: Generation? = null,
    ): Either<PublishError, Accepted> = Publishing(entry, publisher, expected).run()

    /** One run of [publish] with all its attempts. */
    private inner class Publishing(
        private val entry: ConfigurationEntry,
        private val publisher: Publisher,
        expected: Generation?,
    ) {
        private val submitted = CanonicalJson.digest(ConfigurationEntry.serializer(), entry)
        private var base: ConfigurationHead? = null
        private var expectedGeneration = expected
        private var unanswered: PlatformError? = null

        fun run(): Either<PublishError, Accepted> {
            var attempt = 1
            while (true) {
                val step = attempt()
                if (step is Step.Done) return step.result
                if (!pause.await(attempt)) return givenUp((step as Step.Again).error)
                attempt++
            }
        }

        private fun givenUp(error: PlatformError): Either<PublishError, Accepted> {
            val lost = unanswered
            return (if (lost == null) PublishError.Platform(error) else PublishError.Unsettled(entry.id, lost)).left()
        }

        private fun attempt(): Step {
            val current = head().fold({ return Step.Again(it) }, { it })
            val head = current?.head ?: ConfigurationHead()
            acceptedBefore(head).fold({ return Step.Again(it) }, { found ->
                if (found !=
                    null
                ) {
                    return Step.Done(found)
                }
            })
            conflict(head)?.let { return it }
            head.latest?.let { latest -> keepEntry(latest).onLeft { return Step.Again(it) } }
            return advance(current, head)
        }

        /** The result if the entry is known to be accepted, null if it isn't in the order that [head] stands for. */
        private fun acceptedBefore(head: ConfigurationHead): Either<PlatformError, Either<PublishError, Accepted>?> {
            head.latest?.takeIf { it.entry.id == entry.id }?.let { latest ->
                keepEntry(latest)
                return settled(latest).right()
            }
            return record(entry.id).flatMap { record ->
                when {
                    record != null -> settled(record).right()
                    entry.id in head.recentEntries -> PlatformError.NoAnswer("a stale read of ${entry.id}").left()
                    else -> null.right()
                }
            }
        }

        private fun settled(record: ConfigurationRecord): Either<PublishError, Accepted> {
            val same = record.submitted.isEmpty() || record.submitted == submitted
            if (!same) return PublishError.IdReused(entry.id, record.generation).left()
            return Accepted(record.generation, already = unanswered == null).right()
        }

        /** A head that moved under this publisher, or isn't the one it was told to build on. */
        private fun conflict(head: ConfigurationHead): Step? {
            val first = base ?: head.also { base = it }
            val wanted = expectedGeneration ?: head.generation.also { expectedGeneration = it }
            return when {
                head.generation == wanted -> null
                head.generation < first.generation -> Step.Again(PlatformError.NoAnswer("a stale read of the head"))
                else -> Step.Done(conflictWith(first, head, wanted).left())
            }
        }

        private fun conflictWith(
            first: ConfigurationHead,
            head: ConfigurationHead,
            wanted: Generation,
        ) = PublishError.Conflict(wanted, head.generation, first.catalogue.differences(head.catalogue))

        private fun advance(
            current: VersionedHead?,
            head: ConfigurationHead,
        ): Step {
            val stamped = entry.withTimestamps(head.catalogue, publisher.acceptedAt)
            val catalogue =
                head.catalogue.accept(stamped).fold({ return Step.Done(PublishError.Invalid(it).left()) }, { it })
            val record = recordOf(stamped, catalogue.generation, head.latest?.hash.orEmpty())
            val recent = (listOf(entry.id) + head.recentEntries).take(RECENT_ENTRIES)
            val text = json.encodeToString(headSerializer, ConfigurationHead(catalogue, recent, record))
            val bytes = text.toByteArray().size
            if (bytes > ObjectStore.MAXIMUM_VALUE_BYTES) return Step.Done(PublishError.TooLarge(bytes).left())
            val condition = current?.let { WriteCondition.AtVersion(it.version) } ?: WriteCondition.Absent
            return objects.put(HEAD_KEY, text, condition).fold({ notAdvanced(it) }, { advanced(record) })
        }

        private fun advanced(record: ConfigurationRecord): Step {
            keepEntry(record)
            return Step.Done(Accepted(record.generation).right())
        }

        private fun notAdvanced(error: PlatformError): Step {
            if (error is PlatformError.ValueTooLarge) return Step.Done(PublishError.TooLarge(error.bytes).left())
            if (error is PlatformError.NoAnswer) unanswered = error
            return Step.Again(error)
        }

        private fun recordOf(
            stamped: ConfigurationEntry,
            generation: Generation,
            previousHash: String,
        ): ConfigurationRecord {
            val who = publisher
            val record =
                ConfigurationRecord(
                    generation,
                    stamped,
                    who.author,
                    who.acceptedAt,
                    who.from,
                    submitted,
                    previousHash,
                )
            return record.copy(hash = CanonicalJson.digest(recordSerializer, record, except = setOf(HASH_FIELD)))
        }
    }

    private sealed interface Step {
        class Done(
            val result: Either<PublishError, Accepted>,
        ) : Step

        class Again(
            val error: PlatformError,
        ) : Step
    }

    /** Writes the object of an accepted entry unless it is there. */
    private fun keepEntry(record: ConfigurationRecord): Either<PlatformError, Unit> {
        val text = json.encodeToString(recordSerializer, record)
        val written = objects.put(entryKey(record.entry.id), text, WriteCondition.Absent).map { }
        return if (written == PlatformError.ConditionFailed.left()) Unit.right() else written
    }

    private fun <T> decoding(parse: () -> T): Either<PlatformError, T> =
        try {
            parse().right()
        } catch (exception: SerializationException) {
            PlatformError.NoAnswer("unreadable object: ${exception.message}").left()
        }

    public companion object {
        /** Key of the head. */
        public val HEAD_KEY: ObjectKey = ObjectKey("configuration/head")

        /** Prefix of the keys of entries. */
        public const val ENTRY_PREFIX: String = "configuration/entries/"

        internal const val HASH_FIELD = "hash"
        private const val RECENT_ENTRIES = 256
        private const val DEFAULT_ATTEMPTS = 8
        private val headSerializer: KSerializer<ConfigurationHead> = ConfigurationHead.serializer()
        private val recordSerializer: KSerializer<ConfigurationRecord> = ConfigurationRecord.serializer()
        private val json = Json { ignoreUnknownKeys = true }

        /** Decodes a head as [ConfigurationStore] wrote it. */
        public fun decode(text: String): ConfigurationHead = json.decodeFromString(headSerializer, text)

        private fun entryKey(id: NoteId): ObjectKey = ObjectKey("$ENTRY_PREFIX$id")
    }
}
