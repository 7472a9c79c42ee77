package dev.almondhaven.decision.traffic

import dev.almondhaven.traffic.PromptPart
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class PrefixCacheViewTest {
    private val cache = PrefixCacheView(maximumTokens = 1_000)
    private val system = PromptPart("system", 300)
    private val document = PromptPart("document", 400)
    private val question = PromptPart("question", 200)

    @Nested
    inner class `a cache` {
        @Test
        fun `holds the shared prefix of a prompt after its prefill`() {
            cache.recordPrefill("m", listOf(system, document, question))
            expectThat(cache.cachedTokens("m", listOf(system, document, PromptPart("other", 50)))).isEqualTo(700)
        }

        @Test
        fun `holds nothing for another model`() {
            cache.recordPrefill("m", listOf(system))
            expectThat(cache.cachedTokens("n", listOf(system))).isEqualTo(0)
        }

        @Test
        fun `counts no part after a missing one`() {
            cache.recordPrefill("m", listOf(system, document))
            expectThat(cache.cachedTokens("m", listOf(PromptPart("other", 5), document))).isEqualTo(0)
        }

        @Test
        fun `evicts the least recently used parts, the last ones of a prompt first`() {
            cache.recordPrefill("m", listOf(system, document, question))
            cache.recordPrefill("m", listOf(system, PromptPart("late", 200)))
            expectThat(cache.cachedTokens("m", listOf(system, document, question))).isEqualTo(700)
        }
    }
}
