package dev.almondhaven.store

import arrow.core.Either
import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.catalogue.FailureDomain
import dev.almondhaven.catalogue.FailureDomainChanges
import dev.almondhaven.catalogue.ReleaseNote
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.Generation
import dev.almondhaven.model.NoteId
import dev.almondhaven.model.RegionId
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.random.Random

class PublishInterleavingPropertyTest {
    private val faults =
        arbitrary { source ->
            val random = source.random
            ObjectStoreFaults(
                notSent = random.nextDouble(0.2),
                lostResponses = random.nextDouble(0.4),
                lateWrites = random.nextDouble(0.4),
                staleReads = random.nextDouble(0.4),
            )
        }

    /** Operators that publish and retry on one faulty platform, some between the calls of another's publication. */
    private class Run(
        seed: Long,
        faults: ObjectStoreFaults,
    ) {
        private val random = Random(seed)
        private val inner = InMemoryObjectStore()
        private val faulty = FaultyObjectStore(inner, seed, faults)
        private val interleaving = InterleavingStore()
        private var nestedPublications = 0
        private var nextId = 0
        val observedGenerations = mutableListOf<Generation>()
        val results = mutableListOf<Pair<NoteId, Either<PublishError, Accepted>>>()

        private inner class InterleavingStore : ObjectStore by faulty {
            override fun put(
                key: ObjectKey,
                value: String,
                condition: WriteCondition,
            ): Either<PlatformError, ObjectVersion> {
                if (nestedPublications < 3 && random.nextDouble() < 0.3) publish()
                return faulty.put(key, value, condition).also { recordGeneration() }
            }
        }

        private fun recordGeneration() {
            ConfigurationStore(inner).head().getOrNull()?.let { observedGenerations += it.head.generation }
        }

        private fun publish() {
            nestedPublications++
            val republishes = nextId > 0 && random.nextDouble() < 0.4
            val id = NoteId("note-${if (republishes) random.nextInt(nextId) else nextId++}")
            val domain = FailureDomain(FailureDomainId(id.value), RegionId("wales"))
            val note = ReleaseNote(id, "x", failureDomains = FailureDomainChanges(added = listOf(domain)))
            val publisher = Publisher("operator", acceptedAt = random.nextLong(1, 1_000_000), host = "desk")
            val store = ConfigurationStore(interleaving, PublishRetryPolicy.immediate(random.nextInt(1, 6)))
            results += id to store.publish(ConfigurationEntry.NotePublished(note), publisher)
            nestedPublications--
        }

        fun run(): AuditReport {
            repeat(20) { publish() }
            faulty.deliverLateWrites()
            recordGeneration()
            return checkNotNull(AuditTrail(inner).read().getOrNull())
        }
    }

    @Nested
    inner class `concurrent operators on a platform with lost responses, late writes and stale reads` {
        @Test
        fun `get correct results, publish each id at most once, and leave an intact audit trail`() {
            runBlocking {
                checkAll(PropTestConfig(seed = 4_071, iterations = 400), Arb.long(), faults) { seed, faults ->
                    val run = Run(seed, faults)
                    val report = run.run()

                    val generations = report.records.associate { it.entry.id to it.generation }
                    val neverPublished = neverPublished(run)
                    expectThat(report.faults).isEmpty()
                    expectThat(
                        report.records
                            .map { it.entry.id }
                            .toSet()
                            .size,
                    ).isEqualTo(report.records.size)
                    expectThat(run.observedGenerations.zipWithNext().filter { it.first > it.second }).isEmpty()
                    expectThat(run.results.filter { (id, result) -> !isCorrect(result, generations[id]) }).isEmpty()
                    expectThat(neverPublished.filter { it in generations }).isEmpty()
                }
            }
        }

        private fun isCorrect(
            result: Either<PublishError, Accepted>,
            generation: Generation?,
        ): Boolean =
            result.fold({ it !is PublishError.IdReused && it !is PublishError.Invalid }, {
                it.generation ==
                    generation
            })

        /** Ids for which every attempt was reported as not published. */
        private fun neverPublished(run: Run): List<NoteId> =
            run.results
                .groupBy({ it.first }, { it.second })
                .filterValues { all -> all.none { it.isRight() || it.leftOrNull() is PublishError.Unsettled } }
                .keys
                .toList()
    }

    @Nested
    inner class `two operators that publish on the same generation` {
        @Test
        fun `get one acceptance`() {
            runBlocking {
                checkAll(PropTestConfig(seed = 4_072, iterations = 200), Arb.long(), faults) { seed, faults ->
                    val inner = InMemoryObjectStore()
                    val objects = FaultyObjectStore(inner, seed, faults)
                    val pause = PublishRetryPolicy.immediate(100)
                    val results =
                        List(2) { operator ->
                            val note = ReleaseNote(NoteId("note-$operator"), "x")
                            ConfigurationStore(objects, pause).publish(
                                ConfigurationEntry.NotePublished(note),
                                Publisher("operator", acceptedAt = 1, host = "desk"),
                                expected = Generation.NONE,
                            )
                        }
                    objects.deliverLateWrites()

                    val accepted =
                        AuditTrail(inner)
                            .read()
                            .getOrNull()
                            ?.records
                            ?.map { it.entry.id.value }
                    expectThat(results.count { it.isRight() }).isEqualTo(1)
                    expectThat(accepted.orEmpty()).containsExactly("note-0")
                }
            }
        }
    }
}
