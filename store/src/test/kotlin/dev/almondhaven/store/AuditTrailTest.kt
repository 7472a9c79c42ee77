package dev.almondhaven.store

import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.catalogue.ReleaseNote
import dev.almondhaven.model.Generation
import dev.almondhaven.model.NoteId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class AuditTrailTest {
    private val objects = InMemoryObjectStore()

    private fun publish(id: String) {
        val entry = ConfigurationEntry.NotePublished(ReleaseNote(NoteId(id), "test"))
        ConfigurationStore(objects).publish(entry, Publisher("anna", acceptedAt = 1_000, host = "desk"))
    }

    private fun report(): AuditReport = checkNotNull(AuditTrail(objects).read().getOrNull())

    private fun faults(): List<Generation> = report().faults.map { it.generation }

    @Nested
    inner class `an audit trail` {
        @Test
        fun `lists all entries in order of acceptance and verifies`() {
            listOf("c", "a", "b").forEach { publish(it) }

            expectThat(report().records.map { it.entry.id.value }).containsExactly("c", "a", "b")
            expectThat(report().faults).isEmpty()
        }

        @Test
        fun `longer than one listing page verifies`() {
            repeat(250) { publish("note-$it") }

            expectThat(report().records.size).isEqualTo(250)
            expectThat(report().faults).isEmpty()
        }

        @Test
        fun `reports a fault for an altered entry`() {
            listOf("a", "b", "c").forEach { publish(it) }
            val key = ObjectKey("configuration/entries/b")
            val stored = checkNotNull(objects.get(key).getOrNull())
            objects.put(key, stored.value.replace("anna", "eve"), WriteCondition.AtVersion(stored.version))

            expectThat(faults()).containsExactly(Generation(2))
        }

        @Test
        fun `reports faults at the entry after a missing one`() {
            listOf("a", "b", "c").forEach { publish(it) }
            val key = ObjectKey("configuration/entries/b")
            objects.delete(key, checkNotNull(objects.get(key).getOrNull()).version)

            expectThat(faults()).containsExactly(Generation(3), Generation(3))
        }
    }
}
