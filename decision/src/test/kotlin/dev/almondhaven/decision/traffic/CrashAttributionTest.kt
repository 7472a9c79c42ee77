package dev.almondhaven.decision.traffic

import dev.almondhaven.model.EndpointId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

class CrashAttributionTest {
    private val attribution = CrashAttribution()
    private var now = 0L

    private fun advance(duration: Duration) {
        now += duration.inWholeNanoseconds
    }

    private fun report(
        endpoint: String,
        request: String,
        parts: List<String>,
        responseStarted: Boolean = true,
    ): Unit =
        attribution.recordCrash(
            CrashReport(EndpointId(endpoint), 1, request, parts.toSet(), responseStarted),
            now,
        )

    /** Records the only report of a crash, and returns what is quarantined when no other has arrived. */
    private fun crash(
        endpoint: String,
        request: String,
        parts: List<String>,
    ): List<Set<String>> {
        report(endpoint, request, parts)
        advance(CrashAttribution.REPORT_TIME)
        return attribution.evaluate(now)
    }

    private fun answer(vararg parts: String): AttributionChange = attribution.recordAnswer(parts.toList(), now)

    private fun admission(
        request: String,
        vararg parts: String,
    ): PromptAdmission = attribution.admission(request, parts.toList(), now)

    private fun quarantined(vararg parts: String) =
        PromptAdmission.Quarantined(parts.toSet(), CrashAttribution.QUARANTINE)

    @Nested
    inner class `a part that crashes endpoints` {
        @Test
        fun `is quarantined after the second crash of a request, which the endpoints' other parts are not`() {
            answer("system", "document")
            crash("e-1", "r-1", listOf("system", "document", "deadly"))
            advance(300.milliseconds)
            val change = crash("e-2", "r-1", listOf("system", "document", "deadly"))

            expectThat(change).isEqualTo(listOf(setOf("deadly")))
            expectThat(admission("r-2", "system", "document", "deadly")).isEqualTo(quarantined("deadly"))
            expectThat(admission("r-3", "system", "document")).isEqualTo(PromptAdmission.Admitted)
        }

        @Test
        fun `is told apart from the unknown parts beside it by the answer to another prompt`() {
            crash("e-1", "r-1", listOf("system", "deadly"))
            advance(300.milliseconds)
            crash("e-2", "r-1", listOf("system", "deadly"))
            expectThat(admission("r-2", "system")).isEqualTo(PromptAdmission.Admitted)

            val change = answer("system")
            expectThat(change)
                .isEqualTo(AttributionChange(quarantined = listOf(setOf("deadly")), cleared = setOf("system")))
            expectThat(admission("r-3", "other", "deadly")).isEqualTo(quarantined("deadly"))
        }

        @Test
        fun `is found by what the prompts that crashed have in common, beside other parts each time`() {
            crash("e-1", "r-1", listOf("a", "deadly"))
            advance(300.milliseconds)
            crash("e-2", "r-1", listOf("a", "deadly"))
            expectThat(admission("r-2", "b", "deadly")).isEqualTo(PromptAdmission.Admitted)
            advance(300.milliseconds)
            val change = crash("e-3", "r-2", listOf("b", "deadly"))

            expectThat(change).isEqualTo(listOf(setOf("deadly")))
        }

        @Test
        fun `is found although it was answered before`() {
            answer("turned")
            val quarantined =
                (1..3).map {
                    advance(300.milliseconds)
                    crash("e-$it", "r-$it", listOf("turned"))
                }
            expectThat(quarantined).isEqualTo(listOf(emptyList(), emptyList(), listOf(setOf("turned"))))
        }

        @Test
        fun `does not hide a second one`() {
            listOf("first", "second").forEach { part ->
                crash("e-1-$part", "r-1", listOf(part))
                advance(300.milliseconds)
                crash("e-2-$part", "r-1", listOf(part))
                advance(300.milliseconds)
            }
            expectThat(admission("r-2", "second")).isEqualTo(
                PromptAdmission.Quarantined(setOf("second"), CrashAttribution.QUARANTINE - 300.milliseconds),
            )
        }

        @Test
        fun `is tried again after the quarantine`() {
            crash("e-1", "r-1", listOf("deadly"))
            advance(300.milliseconds)
            crash("e-2", "r-1", listOf("deadly"))
            advance(CrashAttribution.QUARANTINE)
            expectThat(admission("r-2", "deadly")).isEqualTo(PromptAdmission.Admitted)
        }
    }

    @Nested
    inner class `other requests` {
        @Test
        fun `with the same parts wait for the outcome of the one that is tried again`() {
            report("e-1", "r-1", listOf("deadly"))
            expectThat(admission("r-1", "deadly")).isEqualTo(PromptAdmission.Deferred)
            advance(CrashAttribution.REPORT_TIME)
            attribution.evaluate(now)
            expectThat(admission("r-1", "deadly")).isEqualTo(PromptAdmission.Admitted)
            expectThat(admission("r-2", "deadly")).isEqualTo(PromptAdmission.Deferred)
            expectThat(admission("r-3", "sound")).isEqualTo(PromptAdmission.Admitted)
        }

        @Test
        fun `are tried one after the other if the outcome does not come`() {
            crash("e-1", "r-1", listOf("deadly"))
            advance(CrashAttribution.LONGEST_PROBE)
            expectThat(admission("r-2", "deadly")).isEqualTo(PromptAdmission.Admitted)
            expectThat(admission("r-3", "deadly")).isEqualTo(PromptAdmission.Deferred)
        }

        @Test
        fun `that met a crash are not to blame once the part that caused it is known`() {
            report("e-1", "r-1", listOf("deadly"))
            report("e-1", "r-2", listOf("sound"))
            advance(300.milliseconds)
            crash("e-2", "r-1", listOf("deadly"))
            advance(300.milliseconds)
            crash("e-3", "r-1", listOf("deadly"))

            expectThat(admission("r-3", "deadly") is PromptAdmission.Quarantined).isTrue()
            expectThat(admission("r-4", "sound")).isEqualTo(PromptAdmission.Admitted)
        }
    }

    @Nested
    inner class `a sound part` {
        @Test
        fun `that met two crashes beside another suspect is not quarantined`() {
            repeat(2) {
                report("e-$it", "r-1", listOf("sound"))
                report("e-$it", "r-2", listOf("deadly"))
                advance(300.milliseconds)
                expectThat(attribution.evaluate(now)).isEqualTo(emptyList())
            }
            expectThat(admission("r-3", "sound")).isEqualTo(PromptAdmission.Deferred)
            expectThat(answer("sound").quarantined).isEqualTo(listOf(setOf("deadly")))
            expectThat(admission("r-3", "sound")).isEqualTo(PromptAdmission.Admitted)
        }

        @Test
        fun `that met the same crashes as a part that is quarantined is not quarantined with it`() {
            repeat(4) {
                report("e-$it", "r-1", listOf("deadly"))
                report("e-$it", "r-2", listOf("sound"), responseStarted = it > 0)
                advance(300.milliseconds)
            }
            expectThat(attribution.evaluate(now)).isEqualTo(listOf(setOf("deadly")))
            expectThat(admission("r-3", "sound")).isEqualTo(PromptAdmission.Admitted)
        }

        @Test
        fun `whose requests were all on their way when several endpoints crashed is not quarantined`() {
            repeat(5) { report("e-$it", "r-$it", listOf("sound")) }
            advance(CrashAttribution.REPORT_TIME)
            expectThat(attribution.evaluate(now)).isEqualTo(emptyList())
            expectThat(admission("r-0", "sound")).isEqualTo(PromptAdmission.Admitted)
        }

        @Test
        fun `is no longer suspected after an answer`() {
            crash("e-1", "r-1", listOf("sound"))
            advance(300.milliseconds)
            expectThat(answer("sound")).isEqualTo(AttributionChange(cleared = setOf("sound")))
            expectThat(crash("e-2", "r-2", listOf("sound"))).isEqualTo(emptyList())
        }

        @Test
        fun `that was quarantined wrongly is sent again after an answer that was on its way`() {
            crash("e-1", "r-1", listOf("sound"))
            advance(300.milliseconds)
            crash("e-2", "r-1", listOf("sound"))
            expectThat(answer("sound").lifted).isEqualTo(listOf(setOf("sound")))
            expectThat(admission("r-2", "sound")).isEqualTo(PromptAdmission.Admitted)
        }
    }

    @Nested
    inner class `what other routers know` {
        @Test
        fun `clears a suspected part, but ends no quarantine`() {
            crash("e-1", "r-1", listOf("a"))
            expectThat(attribution.recordRemoteAnswer(listOf("a"), now).cleared).isEqualTo(setOf("a"))

            attribution.applyQuarantine(setOf("b"), 1.minutes, now)
            attribution.recordRemoteAnswer(listOf("b"), now)
            expectThat(admission("r-2", "b")).isEqualTo(PromptAdmission.Quarantined(setOf("b"), 1.minutes))
        }

        @Test
        fun `quarantines a part, unless this router has seen it answered`() {
            answer("answered")
            expectThat(attribution.applyQuarantine(setOf("a"), 1.minutes, now)).isTrue()
            expectThat(attribution.applyQuarantine(setOf("a"), 1.minutes, now)).isFalse()
            expectThat(attribution.applyQuarantine(setOf("answered"), 1.minutes, now)).isFalse()
            expectThat(admission("r-1", "a")).isEqualTo(PromptAdmission.Quarantined(setOf("a"), 1.minutes))
        }

        @Test
        fun `lifts a quarantine`() {
            attribution.applyQuarantine(setOf("a"), 1.minutes, now)
            attribution.lift(setOf("a"))
            expectThat(admission("r-1", "a")).isEqualTo(PromptAdmission.Admitted)
        }
    }
}
