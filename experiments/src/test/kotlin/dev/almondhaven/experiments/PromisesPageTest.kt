package dev.almondhaven.experiments

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import java.io.File

class PromisesPageTest {
    private val root = File(System.getProperty("almondhaven.root"))
    private val page = File(root, "docs/PROMISES.md").readText()
    private val reference = Regex("`(dev\\.almondhaven\\.[A-Za-z.]+Test)#([^`]+)`")

    private fun exists(
        className: String,
        testName: String,
    ): Boolean {
        val path = "src/test/kotlin/${className.replace('.', '/')}.kt"
        val sources =
            root
                .listFiles()
                .orEmpty()
                .map { File(it, path) }
                .filter { it.isFile }
        return sources.any { "fun `$testName`" in it.readText() }
    }

    @Test
    fun `every test that the page names exists`() {
        val missing = reference.findAll(page).map { it.destructured }.filterNot { (name, test) -> exists(name, test) }

        expectThat(missing.map { (name, test) -> "$name#$test" }.toList()).isEmpty()
    }

    @Test
    fun `the page has a section for each of the twelve requirements`() {
        expectThat(page.lines().filter { it.startsWith("## ") }).hasSize(12)
    }
}
