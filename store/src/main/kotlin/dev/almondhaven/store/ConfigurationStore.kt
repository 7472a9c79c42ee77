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

/** Decides whether to retry after a failed attempt, and waits before the retry. */
public fun interface PublishRetryPolicy {
    /** Waits after failed attempt number [attempt], counted from 1; returns false to give up. */
    public fun await(attempt: Int): Boolean

    public companion object {
        /** Retries up to [attempts] times without waiting. */
        public fun immediate(attempts: Int): PublishRetryPolicy = PublishRetryPolicy { it <= attempts }
    }
}

/**
 * Reads the configuration head and advances it by compare-and-set, one entry at a time.
 *
 * An entry is accepted when the head that contains it is written. The head carries its newest entry in full, and a
 * publisher makes sure that this entry is stored as an object of its own before it replaces the head, so a publisher
 * that crashes between the two writes loses nothing. `docs/design/configuration.md` compares this with the other order.
 */
public class ConfigurationStore(
    private val objects: ObjectStore,
    private val retryPolicy: PublishRetryPolicy = PublishRetryPolicy.immediate(DEFAULT_ATTEMPTS),
) {
    /** Reads the head with its version, or null before the first entry. */
    public fun head(): Either<PlatformError, VersionedHead?> =
        objects.get(HEAD_KEY).flatMap { stored ->
            if (stored == null) {
                null.right()
            } else {
                catchDecodingErrors { VersionedHead(decode(stored.value), stored.version) }
            }
        }

    /** Reads the record of the entry [id], or null if its object doesn't exist (yet). */
    public fun record(id: NoteId): Either<PlatformError, ConfigurationRecord?> =
        objects.get(entryKey(id)).flatMap { stored ->
            if (stored ==
                null
            ) {
                null.right()
            } else {
                catchDecodingErrors { json.decodeFromString(recordSerializer, stored.value) }
            }
        }

    /**
     * Publishes [entry] on top of the current head, or only on top of the generation [expected] if given. Idempotent:
     * publishing the same entry again returns the generation as which it was accepted.
     */
    public fun publish(
        entry: ConfigurationEntry,
        publisher: Publisher,
        expected: Generation? = null,
    ): Either<PublishError, Accepted> = Publishing(entry, publisher, expected).run()

    /** State of one call of [publish] across its attempts. */
    private inner class Publishing(
        private val entry: ConfigurationEntry,
        private val publisher: Publisher,
        expected: Generation?,
    ) {
        private val submittedDigest = CanonicalJson.digest(ConfigurationEntry.serializer(), entry)
        private var firstHead: ConfigurationHead? = null
        private var expectedGeneration = expected
        private var unansweredWrite: PlatformError? = null

        fun run(): Either<PublishError, Accepted> {
            var attempt = 1
            while (true) {
                val step = attempt()
                if (step is Step.Done) return step.result
                if (!retryPolicy.await(attempt)) return giveUp((step as Step.Retry).error)
                attempt++
            }
        }

        private fun giveUp(error: PlatformError): Either<PublishError, Accepted> {
            val unanswered = unansweredWrite
            return (
                if (unanswered ==
                    null
                ) {
                    PublishError.Platform(error)
                } else {
                    PublishError.Unsettled(entry.id, unanswered)
                }
            ).left()
        }

        private fun attempt(): Step {
            val current = head().fold({ return Step.Retry(it) }, { it })
            val head = current?.head ?: ConfigurationHead()
            findAccepted(head).fold({ return Step.Retry(it) }, { found ->
                if (found !=
                    null
                ) {
                    return Step.Done(found)
                }
            })
            conflict(head)?.let { return it }
            head.latest?.let { latest -> storeEntry(latest).onLeft { return Step.Retry(it) } }
            return writeHead(current, head)
        }

        /** Returns the result if the entry is already accepted, or null if it isn't in the history up to [head]. */
        private fun findAccepted(head: ConfigurationHead): Either<PlatformError, Either<PublishError, Accepted>?> {
            head.latest?.takeIf { it.entry.id == entry.id }?.let { latest ->
                storeEntry(latest)
                return resultOf(latest).right()
            }
            return record(entry.id).flatMap { record ->
                when {
                    record != null -> {
                        resultOf(record).right()
                    }

                    entry.id in head.recentEntries -> {
                        PlatformError
                            .NoAnswer(
                                "stale read: ${entry.id} is in the head but has no object",
                            ).left()
                    }

                    else -> {
                        null.right()
                    }
                }
            }
        }

        private fun resultOf(record: ConfigurationRecord): Either<PublishError, Accepted> {
            val isSameEntry = record.submitted.isEmpty() || record.submitted == submittedDigest
            if (!isSameEntry) return PublishError.IdReused(entry.id, record.generation).left()
            return Accepted(record.generation, wasAlreadyAccepted = unansweredWrite == null).right()
        }

        /** Returns a step if [head] is a stale read or not the generation to build on, or null to continue. */
        private fun conflict(head: ConfigurationHead): Step? {
            val first = firstHead ?: head.also { firstHead = it }
            val wanted = expectedGeneration ?: head.generation.also { expectedGeneration = it }
            return when {
                head.generation == wanted -> {
                    null
                }

                head.generation < first.generation -> {
                    Step.Retry(
                        PlatformError.NoAnswer("stale read of the head: its generation went back"),
                    )
                }

                else -> {
                    Step.Done(conflictWith(first, head, wanted).left())
                }
            }
        }

        private fun conflictWith(
            first: ConfigurationHead,
            head: ConfigurationHead,
            wanted: Generation,
        ) = PublishError.Conflict(wanted, head.generation, first.catalogue.differences(head.catalogue))

        private fun writeHead(
            current: VersionedHead?,
            head: ConfigurationHead,
        ): Step {
            val stamped = entry.withTimestamps(head.catalogue, publisher.acceptedAt)
            val catalogue =
                head.catalogue.accept(stamped).fold({ return Step.Done(PublishError.Invalid(it).left()) }, { it })
            val record = recordOf(stamped, catalogue.generation, head.latest?.hash.orEmpty())
            val recent = (listOf(entry.id) + head.recentEntries).take(MAX_RECENT_ENTRIES)
            val text = json.encodeToString(headSerializer, ConfigurationHead(catalogue, recent, record))
            val bytes = text.toByteArray().size
            if (bytes > ObjectStore.MAXIMUM_VALUE_BYTES) return Step.Done(PublishError.TooLarge(bytes).left())
            val condition = current?.let { WriteCondition.AtVersion(it.version) } ?: WriteCondition.Absent
            return objects.put(HEAD_KEY, text, condition).fold({ onHeadNotWritten(it) }, { onHeadWritten(record) })
        }

        private fun onHeadWritten(record: ConfigurationRecord): Step {
            storeEntry(record)
            return Step.Done(Accepted(record.generation).right())
        }

        private fun onHeadNotWritten(error: PlatformError): Step {
            if (error is PlatformError.ValueTooLarge) return Step.Done(PublishError.TooLarge(error.bytes).left())
            if (error is PlatformError.NoAnswer) unansweredWrite = error
            return Step.Retry(error)
        }

        private fun recordOf(
            stamped: ConfigurationEntry,
            generation: Generation,
            previousHash: String,
        ): ConfigurationRecord {
            val source = publisher
            val record =
                ConfigurationRecord(
                    generation,
                    stamped,
                    source.author,
                    source.acceptedAt,
                    source.host,
                    submittedDigest,
                    previousHash,
                )
            return record.copy(hash = CanonicalJson.digest(recordSerializer, record, except = setOf(HASH_FIELD)))
        }
    }

    private sealed interface Step {
        class Done(
            val result: Either<PublishError, Accepted>,
        ) : Step

        class Retry(
            val error: PlatformError,
        ) : Step
    }

    /** Stores an accepted entry as an object of its own, unless it exists already. */
    private fun storeEntry(record: ConfigurationRecord): Either<PlatformError, Unit> {
        val text = json.encodeToString(recordSerializer, record)
        val written = objects.put(entryKey(record.entry.id), text, WriteCondition.Absent).map { }
        return if (written == PlatformError.ConditionFailed.left()) Unit.right() else written
    }

    private fun <T> catchDecodingErrors(parse: () -> T): Either<PlatformError, T> =
        try {
            parse().right()
        } catch (exception: SerializationException) {
            PlatformError.NoAnswer("unreadable object: ${exception.message}").left()
        }

    public companion object {
        /** Key of the object that holds the head. */
        public val HEAD_KEY: ObjectKey = ObjectKey("configuration/head")

        /** Key prefix of the objects that hold the accepted entries. */
        public const val ENTRY_PREFIX: String = "configuration/entries/"

        internal const val HASH_FIELD = "hash"
        private const val MAX_RECENT_ENTRIES = 256
        private const val DEFAULT_ATTEMPTS = 8
        private val headSerializer: KSerializer<ConfigurationHead> = ConfigurationHead.serializer()
        private val recordSerializer: KSerializer<ConfigurationRecord> = ConfigurationRecord.serializer()
        private val json = Json { ignoreUnknownKeys = true }

        /** Decodes the JSON of a stored head; throws a [SerializationException] if it is malformed. */
        public fun decode(text: String): ConfigurationHead = json.decodeFromString(headSerializer, text)

        private fun entryKey(id: NoteId): ObjectKey = ObjectKey("$ENTRY_PREFIX$id")
    }
}
