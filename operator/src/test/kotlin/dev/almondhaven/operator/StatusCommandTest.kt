package dev.almondhaven.operator

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.peer.PeerKey
import dev.almondhaven.router.Router
import dev.almondhaven.router.settings.PeerSettings
import dev.almondhaven.router.settings.PlatformSettings
import dev.almondhaven.router.settings.ProcessSettings
import dev.almondhaven.router.settings.RouterSettings
import dev.almondhaven.standins.ObjectStoreServer
import dev.almondhaven.standins.StandInServer
import dev.almondhaven.store.InMemoryObjectStore
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.io.File

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class StatusCommandTest {
    private val key = "a-key-for-this-test"
    private val server = StandInServer.start { ObjectStoreServer(InMemoryObjectStore()).addTo(it) }

    /** Can't reach the platform, so any configuration that it holds was pushed by the operator's command. */
    private val router =
        Router.start(
            RouterSettings(
                ProcessSettings(FailureDomainId("west"), "127.0.0.1:0"),
                PlatformSettings("http://127.0.0.1:1"),
                peers = PeerSettings("127.0.0.1:0", listOf(PeerKey(key))),
            ),
        )

    @TempDir
    lateinit var directory: File

    @AfterAll
    fun stop() {
        router.close()
        server.close()
    }

    private fun run(vararg arguments: String): CliktCommandTestResult {
        val keyFile = File(directory, "key").apply { writeText(key) }.path
        val platform = "http://${server.hostAndPort}"
        val commonOptions =
            arrayOf("--platform", platform, "--router", router.self.peerAddress, "--peer-key-file", keyFile)
        return operatorCommand().test(arrayOf(*arguments, *commonOptions))
    }

    @Nested
    inner class `a published note` {
        @Test
        fun `is pushed to a router without access to the platform, whose status confirms it`() {
            val note = File(directory, "note.yaml")
            note.writeText("id: first\nreason: try\nfailureDomains: { added: [ { id: west, region: wales } ] }\n")

            expectThat(run("note", "publish", note.path).output).contains("in force on 1 of 1 routers")
            expectThat(run("status").output).contains("accepted generation: 1").contains("1/1")
            expectThat(run("status").statusCode).isEqualTo(0)
        }
    }
}
