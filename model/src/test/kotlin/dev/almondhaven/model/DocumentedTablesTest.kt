package dev.almondhaven.model

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import java.io.File

class DocumentedTablesTest {
    private val documents = File(System.getProperty("almondhaven.root"), "docs")

    private fun rows(name: String): List<String> =
        File(documents, name).readLines().filter { it.startsWith("| ") && it[2].isDigit() }

    @Nested
    inner class ResultCodes {
        @Test
        fun `the table in the docs matches the result codes`() {
            val expected =
                ResultCode.entries.map { code ->
                    val status = if (code.status == 0) "–" else "${code.status}"
                    "| ${code.number} | ${code.name.lowercase()} | $status | ${code.meaning} |"
                }

            expectThat(rows("RESULT-CODES.md")).containsExactly(expected)
        }

        @Test
        fun `every number is unique`() {
            expectThat(ResultCode.entries.map { it.number }.toSet()).hasSize(ResultCode.entries.size)
        }
    }

    @Nested
    inner class Events {
        @Test
        fun `the table in the docs matches the log events`() {
            val expected = LogEvent.entries.map { "| ${it.number} | ${it.name} | ${it.level} | ${it.meaning} |" }

            expectThat(rows("EVENTS.md")).containsExactly(expected)
        }

        @Test
        fun `every number is unique`() {
            expectThat(LogEvent.entries.map { it.number }.toSet()).hasSize(LogEvent.entries.size)
        }
    }
}
