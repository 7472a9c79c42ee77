package dev.almondhaven.decision.traffic

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SessionVersionsTest {
    private val versions = SessionVersions(idleTimeout = 5.seconds)

    private fun at(millis: Long): Long = millis.milliseconds.inWholeNanoseconds

    @Nested
    inner class `a session` {
        @Test
        fun `keeps its version until the idle timeout after its latest request`() {
            versions.recordStart("a", "v1", at(0))
            versions.recordEnd("a", at(7_000))

            expectThat(listOf(8_000L, 11_999L, 12_000L).map { versions.versionOf("a", at(it)) })
                .isEqualTo(listOf("v1", "v1", null))
        }

        @Test
        fun `stays active while a request of it runs, however long`() {
            versions.recordStart("a", "v1", at(0))
            versions.recordStart("a", "v1", at(0))
            versions.recordEnd("a", at(1_000))

            expectThat(versions.versionOf("a", at(60_000))).isEqualTo("v1")
        }

        @Test
        fun `keeps the version that ran its latest request`() {
            versions.recordStart("a", "v1", at(0))
            versions.recordEnd("a", at(100))
            versions.recordStart("a", "v2", at(150))
            versions.recordEnd("a", at(200))

            expectThat(versions.versionOf("a", at(300))).isEqualTo("v2")
            expectThat(versions.versionOf("b", at(300))).isEqualTo(null)
        }
    }

    @Nested
    inner class `a session that another router runs` {
        @Test
        fun `keeps its version while the request may run and for the idle timeout afterwards`() {
            versions.recordRemoteRun("a", "v1", running = true, idle = Duration.ZERO, at(0))
            val whileRunning = listOf(14_900L, 15_000L).map { versions.versionOf("a", at(it)) }
            versions.recordRemoteRun("a", "v1", running = false, idle = Duration.ZERO, at(3_000))
            val afterwards = listOf(7_900L, 8_000L).map { versions.versionOf("a", at(it)) }

            expectThat(whileRunning + afterwards).isEqualTo(listOf("v1", null, "v1", null))
        }

        @Test
        fun `is active like a session of this router`() {
            versions.recordRemoteRun("a", "v1", running = true, idle = Duration.ZERO, at(0))
            versions.recordStart("b", "v2", at(0))
            versions.recordStart("c", "v1", at(0))
            versions.recordEnd("c", at(100))

            expectThat(versions.activeSessions(at(6_000)))
                .isEqualTo(
                    listOf(
                        ActiveSession("a", "v1", isRunning = false, idle = 6.seconds),
                        ActiveSession("b", "v2", isRunning = true),
                    ),
                )
        }

        /** Guards against a router that was cut off and tells of its runs when it is back. */
        @Test
        fun `keeps the version of the later run, whichever is told last`() {
            versions.recordRemoteRun("a", "v2", running = false, idle = 1.seconds, at(10_000))
            versions.recordRemoteRun("a", "v1", running = false, idle = 2.seconds, at(10_000))
            versions.recordStart("b", "v2", at(9_000))
            versions.recordRemoteRun("b", "v1", running = false, idle = Duration.ZERO, at(10_000))
            versions.recordRemoteRun("c", "v1", running = false, idle = 2.seconds, at(10_000))

            expectThat(
                listOf("a", "b", "c").map { versions.versionOf(it, at(12_999)) },
            ).isEqualTo(listOf("v2", "v2", "v1"))
            expectThat(versions.versionOf("c", at(13_000))).isEqualTo(null)
        }
    }
}
