package dev.almondhaven.decision.session

import arrow.core.left
import arrow.core.right
import dev.almondhaven.catalogue.AllowedModel
import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.CatalogueIndex
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.Organisation
import dev.almondhaven.catalogue.Price
import dev.almondhaven.catalogue.QualityPrior
import dev.almondhaven.catalogue.QualityTarget
import dev.almondhaven.catalogue.VersionState
import dev.almondhaven.model.ModelId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.VersionId
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class SessionVersionResolverTest {
    private val roofers = OrganisationId("roofers")

    private fun version(
        name: String,
        successor: String? = null,
        withdrawn: Boolean = successor != null,
    ) = ModelVersion(
        ModelId("slate"),
        VersionId(name),
        if (withdrawn) VersionState.WITHDRAWN else VersionState.ACTIVE,
        Price(1.0, 1.0),
        QualityPrior(0.9),
        successor?.let { VersionId(it) },
    )

    private fun index(
        vararg versions: ModelVersion,
        allowed: List<String> = emptyList(),
    ): CatalogueIndex {
        val models = listOf(AllowedModel(ModelId("slate"), allowed.map { VersionId(it) }))
        val organisation = Organisation(roofers, emptyList(), quality = QualityTarget(0.5), models = models)
        return CatalogueIndex.of(Catalogue(models = versions.toList(), organisations = listOf(organisation)))
    }

    private fun id(version: String) = ModelVersionId.parse("slate@$version")

    private fun CatalogueIndex.resolve(version: String) = SessionVersionResolver.resolve(this, roofers, id(version))

    @Nested
    inner class `a session` {
        @Test
        fun `keeps a version in service, also when a newer one is rolled out`() {
            expectThat(index(version("1"), version("2")).resolve("1")).isEqualTo(id("1").right())
        }

        @Test
        fun `follows successors to the first version in service`() {
            val index = index(version("1", successor = "2"), version("2", successor = "3"), version("3"))

            expectThat(index.resolve("1")).isEqualTo(id("3").right())
        }

        @Test
        fun `without a successor is refused`() {
            expectThat(index(version("1", withdrawn = true)).resolve("1"))
                .isEqualTo(SessionRefusal.Withdrawn(id("1")).left())
        }

        @Test
        fun `whose successors go in a circle is refused`() {
            val index = index(version("1", successor = "2"), version("2", successor = "1"))

            expectThat(index.resolve("1")).isEqualTo(SessionRefusal.Withdrawn(id("1")).left())
        }

        @Test
        fun `on a version that is no longer allowed is refused`() {
            expectThat(index(version("1"), version("2"), allowed = listOf("2")).resolve("1"))
                .isEqualTo(SessionRefusal.NotAllowed(id("1")).left())
        }

        @Test
        fun `on a version that this catalogue doesn't hold yet is refused as unknown`() {
            expectThat(index(version("1")).resolve("2")).isEqualTo(SessionRefusal.Unknown(id("2")).left())
        }
    }

    @Nested
    inner class `over a series of random catalogues` {
        private val withdrawals =
            arbitrary { source ->
                List(12) { source.random.nextInt(VERSIONS) to source.random.nextInt(VERSIONS) }
            }

        @Test
        fun `a session changes its version only when that version was withdrawn, and runs on allowed ones only`() {
            runBlocking {
                checkAll(PropTestConfig(seed = 4_083, iterations = 300), withdrawals) { steps ->
                    val versions = Array(VERSIONS) { version("$it") }
                    var pinned = id("0")
                    steps.forEach { (withdrawn, successor) ->
                        val named = successor.takeIf { it != withdrawn }?.toString()
                        versions[withdrawn] = version("$withdrawn", named, withdrawn = true)
                        val index = index(*versions)
                        val next = SessionVersionResolver.resolve(index, roofers, pinned)
                        val stillServes = index.mayRun(roofers, pinned)
                        expectThat(next.fold({ !stillServes }, { (it == pinned) == stillServes })).isTrue()
                        expectThat(next.fold({ true }, { index.mayRun(roofers, it) })).isTrue()
                        next.onRight { pinned = it }
                    }
                }
            }
        }
    }

    private companion object {
        const val VERSIONS = 6
    }
}
