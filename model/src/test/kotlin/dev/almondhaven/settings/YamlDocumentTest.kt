package dev.almondhaven.settings

import arrow.core.left
import dev.almondhaven.catalogue.ReleaseNote
import dev.almondhaven.catalogue.RollOutStep
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class YamlDocumentTest {
    @Nested
    inner class `a document with several mistakes` {
        @Test
        fun `reports all of them with path, value and expectation`() {
            val text =
                """
                share: many
                minuts: 3
                """.trimIndent()

            val result = YamlDocument.read(RollOutStep.serializer(), text)

            expectThat(result).isEqualTo(
                listOf(
                    Problem("minuts", "minuts", "one of the fields share, minutes"),
                    Problem("share", "'many'", "a number"),
                    Problem("minutes", "nothing", "an integer"),
                ).left(),
            )
        }

        @Test
        fun `that isn't YAML is rejected`() {
            val result = YamlDocument.read(ReleaseNote.serializer(), "id: [")

            expectThat(result.isLeft()).isTrue()
        }
    }
}
