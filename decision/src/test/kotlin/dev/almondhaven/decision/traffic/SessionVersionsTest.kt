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
            versions.began("a", "v1")
            versions.ended("a", at(7_000))

            expectThat(listOf(8_000L, 11_999L, 12_000L).map { versions.versionOf("a", at(it)) })
                .isEqualTo(listOf("v1", "v1", null))
        }

        @Test
        fun `counts while a run of it goes on, however long`() {
            versions.began("a", "v1")
            versions.began("a", "v1")
            versions.ended("a", at(1_000))

            expectThat(versions.versionOf("a", at(60_000))).isEqualTo("v1")
        }

        @Test
        fun `belongs to the version that ran it last`() {
            versions.began("a", "v1")
            versions.ended("a", at(100))
            versions.began("a", "v2")
            versions.ended("a", at(200))

            expectThat(versions.versionOf("a", at(300))).isEqualTo("v2")
            expectThat(versions.versionOf("b", at(300))).isEqualTo(null)
        }
    }
}
