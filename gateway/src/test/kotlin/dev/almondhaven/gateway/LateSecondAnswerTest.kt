package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

/** Guards against a late second copy of an answer that is taken for the answer to a later send of the same request. */
class LateSecondAnswerTest {
    private val stuttering = StutteringEndpoint()
    private val fixture = GatewayFixture(listOf(stuttering.endpoint))

    @AfterEach
    fun end() = fixture.close()

    private enum class Answer(
        val status: String,
    ) {
        SUCCESS("200 OK"),
        FAILURE("500 Internal Server Error"),
        REFUSAL("503 Service Unavailable"),
    }

    private enum class Copy { NONE, AT_ONCE, BEFORE_THE_NEXT_ANSWER }

    /** What an endpoint does with one send of a request. */
    private data class Reaction(
        val answer: Answer,
        val copy: Copy = Copy.NONE,
        val workMillis: Long = 0,
    )

    /**
     * An endpoint that reacts to the sends of each request in the order of their arrival; sends beyond [reactions]
     * succeed. Each answer names its send.
     */
    private class StutteringEndpoint {
        val endpoint = ScriptedEndpoint(::react)
        private val reactions = ConcurrentHashMap<String, List<Reaction>>()
        private val lateCopies = ConcurrentHashMap<Socket, String>()
        private val answers = ConcurrentHashMap<String, MutableList<Answer>>()

        fun expect(
            id: String,
            reactions: List<Reaction>,
        ) {
            answers[id] = CopyOnWriteArrayList()
            this.reactions[id] = reactions
        }

        fun sends(id: String): Int = answers.getValue(id).size

        fun runs(id: String): Int = answers.getValue(id).count { it != Answer.REFUSAL }

        private fun react(request: ScriptedEndpoint.ReceivedRequest) {
            val planned = reactions[request.id] ?: return request.respond("")
            lateCopies.remove(request.socket)?.let(request::write)
            val reaction = planned.getOrElse(sends(request.id)) { Reaction(Answer.SUCCESS) }
            answers.getValue(request.id) += reaction.answer
            val answer = text(request, sends(request.id), reaction.answer)
            // The router may act on a copy before it gets the answer.
            TimeUnit.MILLISECONDS.sleep(reaction.workMillis)
            request.write(if (reaction.copy == Copy.AT_ONCE) answer + answer else answer)
            if (reaction.copy == Copy.BEFORE_THE_NEXT_ANSWER) lateCopies[request.socket] = answer
        }

        private fun text(
            request: ScriptedEndpoint.ReceivedRequest,
            number: Int,
            answer: Answer,
        ): String {
            val body = "send $number"
            val stated = if (answer == Answer.REFUSAL) listOf(WireSamples.notRun()) else emptyList()
            val headers = WireSamples.answerHeaders(request.id) + stated + ("Content-Length" to "${body.length}")
            return request.head(answer.status, headers) + body
        }
    }

    private fun call(
        path: String,
        id: String,
        vararg planned: Reaction,
    ): String {
        stuttering.expect(id, planned.toList())
        return fixture.call(path, id)
    }

    private fun status(response: String) = response.substringAfter(' ').substringBefore(' ').toInt()

    private fun bodyOf(response: String) = response.substringAfter("\r\n\r\n")

    private val unaryPath = "${WireSamples.UNARY_PATH}a"
    private val nonRetryablePath = "${WireSamples.NON_IDEMPOTENT_PATH}a"

    @Nested
    inner class `a late copy of a refusal` {
        private val refusal = Reaction(Answer.REFUSAL, Copy.BEFORE_THE_NEXT_ANSWER)
        private val slowSuccess = Reaction(Answer.SUCCESS, workMillis = 50)

        @Test
        fun `does not make an idempotent request succeed that the endpoint failed`() {
            val response = call(unaryPath, "r-1", refusal, slowSuccess, Reaction(Answer.FAILURE))

            expectThat(bodyOf(response)).isEqualTo("send ${stuttering.sends("r-1")}")
        }

        @Test
        fun `does not make a non-idempotent request run twice`() {
            call(nonRetryablePath, "r-1", refusal, slowSuccess)

            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS)
            expectThat(stuttering.runs("r-1")).isEqualTo(1)
        }
    }

    @Test
    fun `a late copy of a failure does not hide the success of the retry`() {
        val failure = Reaction(Answer.FAILURE, Copy.BEFORE_THE_NEXT_ANSWER)

        expectThat(bodyOf(call(unaryPath, "r-1", failure, Reaction(Answer.SUCCESS)))).isEqualTo("send 2")
    }

    private val anyReactions =
        Arb.list(
            arbitrary { source ->
                Reaction(
                    Arb.element(Answer.entries).sample(source).value,
                    Arb.element(Copy.entries).sample(source).value,
                    Arb.element(0L, 0L, 20L).sample(source).value,
                )
            },
            1..8,
        )

    /** Sends one request after the other on [path] and passes the id and the response of each to [check]. */
    private fun checkAnyReactions(
        path: String,
        check: (id: String, response: String) -> Unit,
    ) {
        val ids = generateSequence(1) { it + 1 }.map { "r-$it" }.iterator()
        var sends = 0
        runBlocking {
            checkAll(PropTestConfig(seed = SEED, iterations = ITERATIONS), anyReactions) { reactions ->
                val id = ids.next()
                check(id, call(path, id, *reactions.toTypedArray()))
                sends += stuttering.sends(id)
            }
        }
        expectThat(sends).isGreaterThan(ITERATIONS)
    }

    @Test
    fun `a caller gets the answer to the last send, whatever copies arrive`() =
        checkAnyReactions(unaryPath) { id, response ->
            val isOfEndpoint = bodyOf(response).startsWith("send ")
            if (isOfEndpoint) expectThat(bodyOf(response)).isEqualTo("send ${stuttering.sends(id)}")
        }

    @Test
    fun `a non-idempotent request runs once at most, and not after its refusal, whatever copies arrive`() =
        checkAnyReactions(nonRetryablePath) { id, response ->
            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS)
            expectThat(stuttering.runs(id)).isLessThanOrEqualTo(1)
            if (stuttering.runs(id) > 0) expectThat(status(response)).isNotEqualTo(SERVICE_UNAVAILABLE)
        }

    private companion object {
        const val SEED = 34L
        const val ITERATIONS = 60
        const val SERVICE_UNAVAILABLE = 503

        /** Longer than any work of the endpoint. */
        const val SETTLE_MILLIS = 60L
    }
}
