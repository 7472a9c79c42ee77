package dev.almondhaven.operator

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import dev.almondhaven.standins.ObjectStoreServer
import dev.almondhaven.standins.StandInServer
import dev.almondhaven.store.FaultyObjectStore
import dev.almondhaven.store.InMemoryObjectStore
import dev.almondhaven.store.ObjectKey
import dev.almondhaven.store.ObjectStoreFaults
import dev.almondhaven.store.WriteCondition
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.io.File

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class OperatorCommandTest {
    /** Replaced before each test, so that every test has an empty store behind the same server. */
    private var backingStore = InMemoryObjectStore()
    private var objects = FaultyObjectStore(backingStore, seed = 1)
    private val server = StandInServer.start { ObjectStoreServer(ReplaceableObjectStore { objects }).addTo(it) }

    @TempDir
    lateinit var directory: File

    @BeforeEach
    fun resetStore() {
        backingStore = InMemoryObjectStore()
        objects = FaultyObjectStore(backingStore, seed = 1)
    }

    @AfterAll
    fun stop() {
        server.close()
    }

    private fun run(
        vararg arguments: String,
        attempts: Int = 3,
    ): CliktCommandTestResult {
        val platformOptions = arrayOf("--platform", "http://${server.hostAndPort}", "--attempts", "$attempts")
        return operatorCommand().test(arrayOf(*arguments, *platformOptions))
    }

    private fun note(
        id: String,
        rest: String = "",
    ): String {
        val file = File(directory, "$id.yaml")
        file.writeText("id: $id\nreason: try\n$rest")
        return file.path
    }

    private fun domainNote(id: String): String = note(id, "failureDomains: { added: [ { id: $id, region: wales } ] }\n")

    private fun publish(path: String) = run("note", "publish", path, "--author", "anna")

    private val slate =
        """
        failureDomains:
          added: [ { id: west, region: wales } ]
        models:
          added:
            - { model: slate, version: "1", price: { input: 1.0, output: 2.0 }, quality: { default: 0.9 } }
            - { model: slate, version: "2", price: { input: 0.1, output: 0.2 }, quality: { default: 0.5 } }
        organisations:
          added:
            - { id: roofers, tokenDigests: [], quality: { default: 0.8 }, models: [ { model: slate } ] }
        endpoints:
          added:
            - { id: engine, failureDomain: west, address: "127.0.0.1:9101", versions: [ slate@1, slate@2 ] }
        """.trimIndent() + "\n"

    @Nested
    inner class `note publish` {
        @Test
        fun `accepts a note once, however often it is published`() {
            val path = domainNote("west")

            expectThat(List(2) { publish(path).output }).isEqualTo(
                listOf(
                    "note west is accepted as generation 1\n",
                    "note west was already accepted as generation 1\n",
                ),
            )
        }

        @Test
        fun `on another generation than the one in force shows what changed`() {
            publish(domainNote("west"))
            publish(domainNote("east"))

            val result = run("note", "publish", domainNote("north"), "--on", "1")

            expectThat(result.statusCode).isEqualTo(ExitCode.CONFLICT)
            expectThat(result.stderr).contains("6003 publish_conflict").contains("note east  try")
        }

        @Test
        fun `exits with 4 when the platform is down and 5 when a write got no answer`() {
            objects.outage = true
            val down = publish(domainNote("west"))
            objects.outage = false
            objects.faults = ObjectStoreFaults(lateWrites = 1.0)
            val unsettled = run("note", "publish", domainNote("west"), attempts = 1)

            expectThat(down.statusCode).isEqualTo(ExitCode.UNAVAILABLE)
            expectThat(unsettled.statusCode).isEqualTo(ExitCode.UNSETTLED)
        }

        @Test
        fun `detects that a write without a response took effect`() {
            objects.faults = ObjectStoreFaults(lostResponses = 1.0)

            expectThat(publish(domainNote("west")).output).isEqualTo("note west is accepted as generation 1\n")
        }
    }

    @Nested
    inner class `note check and diff` {
        @Test
        fun `list every problem at once`() {
            val path =
                note("bad", "models: { withdrawn: [ { model: a, version: \"1\" }, { model: b, version: \"1\" } ] }\n")

            val result = run("note", "check", path)

            expectThat(result.statusCode).isEqualTo(ExitCode.INVALID)
            expectThat(result.stderr).contains("models.withdrawn[0]").contains("models.withdrawn[1]")
        }

        @Test
        fun `show the changes that a note would make`() {
            publish(note("first", slate))
            val higherPrice =
                """
                models:
                  changed:
                    - { model: slate, version: "1", price: { input: 1.0, output: 3.0 }, quality: { default: 0.9 } }
                """.trimIndent()

            expectThat(run("note", "diff", note("higher-price", higherPrice)).output)
                .contains("~ models[slate@1] price.output: 2.0 -> 3.0")
        }

        @Test
        fun `check the structure while the platform is down`() {
            objects.outage = true

            expectThat(run("note", "check", domainNote("west")).statusCode).isEqualTo(0)
        }
    }

    @Nested
    inner class `domain` {
        @Test
        fun `is taken out and returned by consecutive configuration entries`() {
            publish(domainNote("west"))

            expectThat(run("domain", "take-out", "west", "--reason", "switch").output)
                .isEqualTo("failure domain west is taken out as of generation 2\n")
            expectThat(run("domain", "return", "west", "--reason", "switch").output)
                .isEqualTo("failure domain west is back in service as of generation 3\n")
        }
    }

    @Nested
    inner class `audit` {
        @Test
        fun `lists author, change and reason, and reports an intact hash chain`() {
            publish(domainNote("west"))

            expectThat(
                run("audit").output,
            ).contains("anna@").contains("note west  try").contains("hash chain is intact")
        }

        @Test
        fun `exits with 6 when an entry was altered`() {
            publish(domainNote("west"))
            val key = ObjectKey("configuration/entries/west")
            val stored = checkNotNull(backingStore.get(key).getOrNull())
            backingStore.put(key, stored.value.replace("anna", "eve"), WriteCondition.AtVersion(stored.version))

            expectThat(run("audit").statusCode).isEqualTo(ExitCode.AUDIT_BROKEN)
        }
    }

    @Nested
    inner class `explain` {
        @Test
        fun `names the cheapest adequate version and why others are excluded`() {
            publish(note("first", slate))
            publish(note("second", "models: { withdrawn: [ { model: slate, version: \"2\", successor: \"1\" } ] }\n"))

            expectThat(run("explain", "--organisation", "roofers", "--pinned", "slate@2").output)
                .contains("slate@2 is withdrawn, the session moves to its successor")
                .contains("chosen: slate@1")
        }
    }
}
