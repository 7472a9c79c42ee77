package dev.almondhaven.experiments

import arrow.core.flatMap
import arrow.core.right
import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.catalogue.ReleaseNote
import dev.almondhaven.catalogue.accept
import dev.almondhaven.model.Generation
import dev.almondhaven.router.settings.RouterSettings
import dev.almondhaven.settings.YamlDocument
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.File

class ExamplesTest {
    private val examples = File(System.getProperty("almondhaven.root"), "examples")

    private fun publish(
        catalogue: Catalogue,
        file: File,
    ) = YamlDocument
        .read(ReleaseNote.serializer(), file.readText())
        .flatMap { catalogue.accept(ConfigurationEntry.NotePublished(it)) }

    @TestFactory
    fun `the release notes of a sample deployment can be published in order`(): List<DynamicTest> =
        listOf("pennant", "association").map { name ->
            dynamicTest(name) {
                val last =
                    listOf("note.yaml", "roll-out.yaml", "withdrawal.yaml")
                        .map { File(examples, "$name/$it") }
                        .fold(
                            Catalogue.EMPTY,
                        ) { catalogue, file -> publish(catalogue, file).fold({ error("$file: $it") }, { it }) }

                expectThat(last.generation).isEqualTo(Generation(3))
            }
        }

    @TestFactory
    fun `sample settings are valid`(): List<DynamicTest> =
        listOf("router.yaml", "try/router.yaml").map { name ->
            dynamicTest(name) {
                val settings = RouterSettings.parse(File(examples, name).readText())

                expectThat(settings.map { }).isEqualTo(Unit.right())
            }
        }
}
