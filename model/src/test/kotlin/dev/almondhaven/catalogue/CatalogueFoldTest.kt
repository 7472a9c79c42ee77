package dev.almondhaven.catalogue

import arrow.core.left
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelId
import dev.almondhaven.model.NoteId
import dev.almondhaven.model.RegionId
import dev.almondhaven.model.VersionId
import dev.almondhaven.settings.Problem
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class CatalogueFoldTest {
    private val west = FailureDomain(FailureDomainId("west"), RegionId("wales"))
    private val version =
        ModelVersion(ModelId("slate"), VersionId("1"), price = Price(1.0, 2.0), quality = QualityPrior(0.9))
    private val note =
        ReleaseNote(
            NoteId("first"),
            "start",
            models = ModelChanges(added = listOf(version)),
            failureDomains = FailureDomainChanges(added = listOf(west)),
        )

    private fun Catalogue.publish(note: ReleaseNote) = accept(ConfigurationEntry.NotePublished(note))

    @Nested
    inner class `a published note` {
        @Test
        fun `adds what it names at the next generation`() {
            expectThat(Catalogue.EMPTY.publish(note).getOrNull()).isEqualTo(
                Catalogue(
                    Generation(1),
                    failureDomains = listOf(west),
                    models = listOf(version.copy(definedIn = Generation(1))),
                ),
            )
        }

        @Test
        fun `that withdraws an unknown version is refused`() {
            val withdrawal = Withdrawal(ModelId("slate"), VersionId("7"))
            val wrong = ReleaseNote(NoteId("second"), "x", models = ModelChanges(withdrawn = listOf(withdrawal)))

            expectThat(Catalogue.EMPTY.publish(wrong)).isEqualTo(
                listOf(Problem("models.withdrawn[0]", "slate@7", "a version in the catalogue")).left(),
            )
        }
    }

    @Nested
    inner class `a domain taken out` {
        @Test
        fun `stays declared but takes no new work`() {
            val catalogue = Catalogue.EMPTY.publish(note).getOrNull()!!
            val entry = ConfigurationEntry.DomainTakenOut(NoteId("out"), "maintenance", west.id)

            expectThat(catalogue.accept(entry).getOrNull()?.failureDomains)
                .isEqualTo(listOf(west.copy(outOfService = true)))
        }
    }
}
