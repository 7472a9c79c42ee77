package dev.almondhaven.decision.traffic

import dev.almondhaven.traffic.PromptPart
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class PrefixCacheViewTest {
    private val cache = PrefixCacheView(maximumTokens = 1_000)
    private val system = PromptPart("system", 300)
    private val dossier = PromptPart("dossier", 400)
    private val own = PromptPart("own", 200)

    @Nested
    inner class `a cache` {
        @Test
        fun `holds the head of a prompt that it has read`() {
            cache.recordPrefill("m", listOf(system, dossier, own))
            expectThat(cache.cachedTokens("m", listOf(system, dossier, PromptPart("other", 50)))).isEqualTo(700)
        }

        @Test
        fun `holds nothing for another model`() {
            cache.recordPrefill("m", listOf(system))
            expectThat(cache.cachedTokens("n", listOf(system))).isEqualTo(0)
        }

        @Test
        fun `counts no part behind one that it lacks`() {
            cache.recordPrefill("m", listOf(system, dossier))
            expectThat(cache.cachedTokens("m", listOf(PromptPart("other", 5), dossier))).isEqualTo(0)
        }

        @Test
        fun `gives up the least recently used parts, the last ones of a prompt first`() {
            cache.recordPrefill("m", listOf(system, dossier, own))
            cache.recordPrefill("m", listOf(system, PromptPart("late", 200)))
            expectThat(cache.cachedTokens("m", listOf(system, dossier, own))).isEqualTo(700)
        }
    }
}
