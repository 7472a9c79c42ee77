package dev.almondhaven.decision.traffic

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SessionVersionsTest {
    private val versions = SessionVersions(gap = 5.seconds)

    private fun at(millis: Long): Long = millis.milliseconds.inWholeNanoseconds

    @Nested
    inner class `a session` {
        @Test
        fun `keeps its version until the gap after the end of its last run`() {
            versions.began("a", "v1", at(0))
            versions.ended("a", at(7_000))

            expectThat(listOf(8_000L, 11_999L, 12_000L).map { versions.versionOf("a", at(it)) })
                .isEqualTo(listOf("v1", "v1", null))
        }

        @Test
        fun `counts while a run of it goes on, however long`() {
            versions.began("a", "v1", at(0))
            versions.began("a", "v1", at(0))
            versions.ended("a", at(1_000))

            expectThat(versions.versionOf("a", at(60_000))).isEqualTo("v1")
        }

        @Test
        fun `belongs to the version that ran it last`() {
            versions.began("a", "v1", at(0))
            versions.ended("a", at(100))
            versions.began("a", "v2", at(150))
            versions.ended("a", at(200))

            expectThat(versions.versionOf("a", at(300))).isEqualTo("v2")
            expectThat(versions.versionOf("b", at(300))).isEqualTo(null)
        }
    }

    @Nested
    inner class `a session that another router runs` {
        @Test
        fun `keeps its version while the run may go on and for the gap after its end`() {
            versions.heard("a", "v1", running = true, at(0))
            val whileRunning = listOf(14_900L, 15_000L).map { versions.versionOf("a", at(it)) }
            versions.heard("a", "v1", running = false, at(3_000))
            val afterwards = listOf(7_900L, 8_000L).map { versions.versionOf("a", at(it)) }

            expectThat(whileRunning + afterwards).isEqualTo(listOf("v1", null, "v1", null))
        }

        @Test
        fun `is current like one of this router`() {
            versions.heard("a", "v1", running = true, at(0))
            versions.began("b", "v2", at(0))
            versions.began("c", "v1", at(0))
            versions.ended("c", at(100))

            expectThat(versions.current(at(6_000)))
                .isEqualTo(
                    listOf(CurrentSession("a", "v1", running = false), CurrentSession("b", "v2", running = true)),
                )
        }
    }
}
