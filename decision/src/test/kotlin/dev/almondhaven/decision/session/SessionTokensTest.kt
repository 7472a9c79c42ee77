package dev.almondhaven.decision.session

import arrow.core.left
import arrow.core.right
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.SessionId
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.hours

class SessionTokensTest {
    private val roofers = OrganisationId("roofers")
    private val pin = SessionPin(SessionKey(roofers, SessionId("one")), ModelVersionId.parse("slate@1"), issuedAt = 0)
    private val march = SessionSigningKey("march", ByteArray(32) { 1 })
    private val april = SessionSigningKey("april", ByteArray(32) { 2 })
    private val inMarch = SessionTokens(listOf(march), "march", 10.hours)

    private fun Int.hoursLater(): Long = hours.inWholeMilliseconds

    @Nested
    inner class `a token` {
        @Test
        fun `carries its pin to every router with the key`() {
            val other = SessionTokens(listOf(march), "march", 10.hours)

            expectThat(other.verify(inMarch.issue(pin), roofers, now = 1))
                .isEqualTo(VerifiedToken(pin, needsRenewal = false).right())
        }

        @Test
        fun `lives through a rotation of keys`() {
            val added = SessionTokens(listOf(march, april), "march", 10.hours)
            val signing = SessionTokens(listOf(march, april), "april", 10.hours)
            val removed = SessionTokens(listOf(april), "april", 10.hours)
            val old = added.issue(pin)
            val renewed = signing.issue(pin)

            expectThat(signing.verify(old, roofers, now = 1)).isEqualTo(VerifiedToken(pin, needsRenewal = true).right())
            expectThat(
                added.verify(renewed, roofers, now = 1),
            ).isEqualTo(VerifiedToken(pin, needsRenewal = true).right())
            expectThat(removed.verify(renewed, roofers, 1)).isEqualTo(VerifiedToken(pin, needsRenewal = false).right())
            expectThat(removed.verify(old, roofers, now = 1)).isEqualTo(SessionTokenError.UNKNOWN_KEY.left())
        }

        @Test
        fun `of another organisation is refused`() {
            expectThat(inMarch.verify(inMarch.issue(pin), OrganisationId("merchants"), now = 1))
                .isEqualTo(SessionTokenError.OTHER_ORGANISATION.left())
        }

        @Test
        fun `is renewed in its second half and refused past its age`() {
            val token = inMarch.issue(pin)

            expectThat(inMarch.verify(token, roofers, 6.hoursLater()))
                .isEqualTo(VerifiedToken(pin, needsRenewal = true).right())
            expectThat(inMarch.verify(token, roofers, 11.hoursLater())).isEqualTo(SessionTokenError.EXPIRED.left())
        }

        @Test
        fun `with any changed character is refused`() {
            val token = inMarch.issue(pin)
            runBlocking {
                checkAll(PropTestConfig(seed = 4_081, iterations = 500), Arb.int(token.indices)) { index ->
                    val changed = token.replaceRange(index, index + 1, if (token[index] == 'x') "y" else "x")
                    val decodesTheSame = index == token.lastIndex
                    expectThat(decodesTheSame || inMarch.verify(changed, roofers, now = 1).isLeft()).isTrue()
                }
            }
        }

        @Test
        fun `of any text is refused without failing`() {
            runBlocking {
                checkAll(PropTestConfig(seed = 4_082, iterations = 500), Arb.string()) { text ->
                    expectThat(inMarch.verify(text, roofers, now = 1).isLeft()).isTrue()
                    expectThat(inMarch.verify("v1.march.$text.x", roofers, now = 1).isLeft()).isTrue()
                }
            }
        }
    }
}
