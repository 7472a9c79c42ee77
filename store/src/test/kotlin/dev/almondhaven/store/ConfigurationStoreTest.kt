package dev.almondhaven.store

import arrow.core.left
import arrow.core.right
import dev.almondhaven.catalogue.CatalogueChange
import dev.almondhaven.catalogue.ChangeKind
import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.catalogue.FailureDomain
import dev.almondhaven.catalogue.FailureDomainChanges
import dev.almondhaven.catalogue.ModelChanges
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.Price
import dev.almondhaven.catalogue.QualityPrior
import dev.almondhaven.catalogue.ReleaseNote
import dev.almondhaven.catalogue.RollOut
import dev.almondhaven.catalogue.RollOutStep
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelId
import dev.almondhaven.model.NoteId
import dev.almondhaven.model.RegionId
import dev.almondhaven.model.VersionId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull

class ConfigurationStoreTest {
    private val publisher = Publisher("anna", acceptedAt = 1_000, host = "desk")

    private fun note(
        id: String,
        domain: String = id,
    ) = ConfigurationEntry.NotePublished(
        ReleaseNote(
            NoteId(id),
            "test",
            failureDomains =
                FailureDomainChanges(added = listOf(FailureDomain(FailureDomainId(domain), RegionId("wales")))),
        ),
    )

    /** Calls [beforeFirstHeadWrite] once, immediately before the first write of the head. */
    private class InterferingObjectStore(
        private val objects: ObjectStore,
        private val beforeFirstHeadWrite: () -> Unit,
    ) : ObjectStore by objects {
        private var hasInterfered = false

        override fun put(
            key: ObjectKey,
            value: String,
            condition: WriteCondition,
        ) = objects.run {
            if (!hasInterfered && key == ConfigurationStore.HEAD_KEY) {
                hasInterfered = true
                beforeFirstHeadWrite()
            }
            put(key, value, condition)
        }
    }

    @Nested
    inner class `publishing` {
        @Test
        fun `the same note twice accepts it once`() {
            val store = ConfigurationStore(InMemoryObjectStore())

            val results = List(2) { store.publish(note("first"), publisher) }

            expectThat(results).isEqualTo(
                listOf(Accepted(Generation(1)).right(), Accepted(Generation(1), wasAlreadyAccepted = true).right()),
            )
        }

        @Test
        fun `the same note again after it has left the recent entries accepts it once`() {
            val store = ConfigurationStore(InMemoryObjectStore())
            store.publish(note("first"), publisher)
            repeat(300) { store.publish(note("later-$it"), publisher) }

            expectThat(store.publish(note("first"), publisher))
                .isEqualTo(Accepted(Generation(1), wasAlreadyAccepted = true).right())
        }

        @Test
        fun `a different note with a used id is rejected`() {
            val store = ConfigurationStore(InMemoryObjectStore())
            store.publish(note("first", domain = "west"), publisher)

            expectThat(store.publish(note("first", domain = "east"), publisher))
                .isEqualTo(PublishError.IdReused(NoteId("first"), Generation(1)).left())
        }

        @Test
        fun `after another operator's concurrent publication is a conflict that lists the changes`() {
            val objects = InMemoryObjectStore()
            val interfering =
                InterferingObjectStore(objects) { ConfigurationStore(objects).publish(note("other"), publisher) }

            val result = ConfigurationStore(interfering).publish(note("mine"), publisher)

            val change = CatalogueChange(ChangeKind.ADDED, "failureDomains[other]")
            expectThat(result)
                .isEqualTo(PublishError.Conflict(Generation(0), Generation(1), listOf(change)).left())
        }

        @Test
        fun `a snapshot over the platform's size limit is rejected`() {
            val domains = List(20_000) { FailureDomain(FailureDomainId("domain-$it"), RegionId("wales")) }
            val large = ReleaseNote(NoteId("large"), "test", failureDomains = FailureDomainChanges(added = domains))

            val result =
                ConfigurationStore(InMemoryObjectStore())
                    .publish(ConfigurationEntry.NotePublished(large), publisher)

            expectThat(result.leftOrNull()).isA<PublishError.TooLarge>()
        }

        @Test
        fun `a roll-out sets its start time, and keeps it when the version is changed`() {
            val store = ConfigurationStore(InMemoryObjectStore())
            val first = ModelVersion(ModelId("m"), VersionId("1"), price = Price(1.0, 1.0), quality = QualityPrior(0.9))
            val rollOut = RollOut(VersionId("1"), steps = listOf(RollOutStep(0.1, 5)))
            val second = first.copy(version = VersionId("2"), rollOut = rollOut)
            val added = ModelChanges(added = listOf(first, second))
            val priceChanged = ModelChanges(changed = listOf(second.copy(price = Price(2.0, 2.0))))

            store.publish(ConfigurationEntry.NotePublished(ReleaseNote(NoteId("a"), "x", added)), publisher)
            store.publish(
                ConfigurationEntry.NotePublished(ReleaseNote(NoteId("b"), "x", priceChanged)),
                publisher.copy(acceptedAt = 9_000),
            )

            val inForce =
                store
                    .head()
                    .getOrNull()
                    ?.head
                    ?.catalogue
                    ?.models
                    ?.last()
            expectThat(inForce).isEqualTo(
                second.copy(
                    price = Price(2.0, 2.0),
                    rollOut = rollOut.copy(startedAt = 1_000),
                    definedIn = Generation(2),
                ),
            )
        }
    }

    @Nested
    inner class `a failing platform` {
        @Test
        fun `that loses every response still accepts the note once`() {
            val objects = FaultyObjectStore(InMemoryObjectStore(), seed = 1, ObjectStoreFaults(lostResponses = 1.0))

            expectThat(ConfigurationStore(objects).publish(note("first"), publisher))
                .isEqualTo(Accepted(Generation(1)).right())
        }

        @Test
        fun `that goes down after a write leaves the outcome unsettled until the note is published again`() {
            val inner = InMemoryObjectStore()
            val objects = FaultyObjectStore(inner, seed = 1, ObjectStoreFaults(lateWrites = 1.0))
            val downAfterFirst = PublishRetryPolicy { attempt -> objects.let { it.outage = true }.let { attempt < 3 } }

            val first = ConfigurationStore(objects, downAfterFirst).publish(note("first"), publisher)
            objects.outage = false
            objects.faults = ObjectStoreFaults()
            objects.deliverLateWrites()
            val again = ConfigurationStore(objects).publish(note("first"), publisher)

            expectThat(first.leftOrNull()).isA<PublishError.Unsettled>()
            expectThat(again).isEqualTo(Accepted(Generation(1), wasAlreadyAccepted = true).right())
        }

        @Test
        fun `that is down before the first write is reported as not published`() {
            val objects = FaultyObjectStore(InMemoryObjectStore(), seed = 1).apply { outage = true }

            expectThat(ConfigurationStore(objects).publish(note("first"), publisher).leftOrNull())
                .isA<PublishError.Platform>()
        }

        @Test
        fun `between the two writes loses no entry, since the next publisher stores it`() {
            val inner = InMemoryObjectStore()
            val crashing =
                object : ObjectStore by inner {
                    override fun put(
                        key: ObjectKey,
                        value: String,
                        condition: WriteCondition,
                    ) = if (key == ConfigurationStore.HEAD_KEY) {
                        inner.put(key, value, condition)
                    } else {
                        PlatformError.NotSent("crashed").left()
                    }
                }

            ConfigurationStore(crashing).publish(note("first"), publisher)
            val store = ConfigurationStore(inner)
            store.publish(note("second"), publisher)

            expectThat(store.record(NoteId("first")).getOrNull()).isNotNull()
        }
    }
}
