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
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Guards against a late second copy of an answer that is taken for the answer to a later send of the same request. */
class LateSecondAnswerTest {
    private var fixture: GatewayFixture? = null

    @AfterEach
    fun end() {
        fixture?.close()
    }

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
     * Endpoints that react to the sends of a request in the order of their arrival; sends beyond [reactions] succeed. Each
     * answer is signed with the number of its send.
     */
    private class StutteringEndpoints(
        private val reactions: List<Reaction>,
        count: Int,
    ) {
        private val sends = AtomicInteger()
        private val lateCopies = ConcurrentHashMap<Socket, String>()

        /** The answers to the sends of the request, by the number of the send. */
        val answers = ConcurrentHashMap<Int, Answer>()
        val runs: Int get() = answers.values.count { it != Answer.REFUSAL }
        val all = List(count) { ScriptedEndpoint(::react) }

        private fun react(request: ScriptedEndpoint.ReceivedRequest) {
            if (request.id == "ready") return request.respond("")
            val number = sends.incrementAndGet()
            val reaction = reactions.getOrElse(number - 1) { Reaction(Answer.SUCCESS) }
            lateCopies.remove(request.socket)?.let(request::write)
            // The router may act on the copy before it gets the answer.
            TimeUnit.MILLISECONDS.sleep(reaction.workMillis)
            answers[number] = reaction.answer
            val answer = text(request, number, reaction.answer)
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
        endpoints: StutteringEndpoints,
        path: String,
    ): String = GatewayFixture(endpoints.all).also { fixture = it }.call(path, "r-1")

    private fun status(response: String) = response.substringAfter(' ').substringBefore(' ').toInt()

    private fun bodyOf(response: String) = response.substringAfter("\r\n\r\n")

    @Nested
    inner class `a late copy of a refusal` {
        private val reactions =
            listOf(
                Reaction(Answer.REFUSAL, Copy.BEFORE_THE_NEXT_ANSWER),
                Reaction(Answer.SUCCESS, workMillis = 50),
                Reaction(Answer.FAILURE),
            )

        @Test
        fun `does not make an idempotent request succeed that the endpoint failed`() {
            val endpoints = StutteringEndpoints(reactions, count = 1)
            val response = call(endpoints, "${WireSamples.UNARY_PATH}a")

            expectThat(bodyOf(response)).isEqualTo("send ${endpoints.answers.size}")
        }

        @Test
        fun `does not make a non-idempotent request run twice`() {
            val endpoints = StutteringEndpoints(reactions.take(2), count = 1)
            call(endpoints, "${WireSamples.NON_IDEMPOTENT_PATH}a")

            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS)
            expectThat(endpoints.runs).isEqualTo(1)
        }
    }

    @Test
    fun `a late copy of a failure does not hide the success of the retry`() {
        val reactions = listOf(Reaction(Answer.FAILURE, Copy.BEFORE_THE_NEXT_ANSWER), Reaction(Answer.SUCCESS))
        val response = call(StutteringEndpoints(reactions, count = 1), "${WireSamples.UNARY_PATH}a")

        expectThat(bodyOf(response)).isEqualTo("send 2")
    }

    private val reactions =
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

    private fun checkReactions(check: (StutteringEndpoints) -> Unit): Unit =
        runBlocking {
            checkAll(
                PropTestConfig(seed = SEED, iterations = ITERATIONS),
                reactions,
                Arb.element(1, 2),
            ) { plan, count ->
                check(StutteringEndpoints(plan, count))
                fixture?.close()
            }
        }

    @Test
    fun `a caller gets the answer to the last send, whatever copies arrive`() =
        checkReactions { endpoints ->
            val response = call(endpoints, "${WireSamples.UNARY_PATH}a")

            val isOfEndpoint = bodyOf(response).startsWith("send ")
            if (isOfEndpoint) expectThat(bodyOf(response)).isEqualTo("send ${endpoints.answers.size}")
        }

    @Test
    fun `a non-idempotent request runs once at most, and not after its refusal, whatever copies arrive`() =
        checkReactions { endpoints ->
            val response = call(endpoints, "${WireSamples.NON_IDEMPOTENT_PATH}a")

            TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS)
            expectThat(endpoints.runs).isLessThanOrEqualTo(1)
            if (endpoints.runs > 0) expectThat(status(response)).isNotEqualTo(SERVICE_UNAVAILABLE)
        }

    private companion object {
        const val SEED = 34L
        const val ITERATIONS = 60
        const val SERVICE_UNAVAILABLE = 503

        /** Longer than any work of an endpoint. */
        const val SETTLE_MILLIS = 100L
    }
}
