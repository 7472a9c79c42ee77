package dev.almondhaven.gateway

import dev.almondhaven.platform.WireSamples
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import java.nio.file.Path
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/**
 * Runs two router processes under load before endpoints that send some answers twice, the second time late, and judges
 * each answer by its signature, which tells the send that it belongs to.
 *
 * System properties for runs by hand: `seed`, `seconds`, `endpoints` (of each service), the shares `copies` (0 for no second
 * copies), `refusals`, `failures` and `breaks`, and `delay` (longest delay of a copy, in milliseconds).
 */
class StutteringEndpointsTest {
    @TempDir
    lateinit var folder: Path

    private val seed = property("seed", "1").toInt()
    private val loadTime = property("seconds", "30").toInt().seconds
    private val endpointsPerService = property("endpoints", "3").toInt()
    private val disturbance =
        Disturbance(
            secondCopies = property("copies", "0.3").toDouble(),
            refusals = property("refusals", "0.25").toDouble(),
            failures = property("failures", "0.1").toDouble(),
            breaks = property("breaks", "0.05").toDouble(),
            longestDelayMillis = property("delay", "200").toLong(),
        )
    private val record = SendRecord()
    private val outcomes = ConcurrentLinkedQueue<CallerOutcome>()
    private val closeables = ArrayList<AutoCloseable>()

    private fun property(
        name: String,
        default: String,
    ): String = System.getProperty(name) ?: default

    @AfterEach
    fun end(): Unit = closeables.asReversed().forEach { it.close() }

    @Test
    fun `every caller gets its own answer, whole and once, while endpoints send answers twice`() {
        val routers =
            startRouters(startStore(startEndpoints("s", streams = true), startEndpoints("p", streams = false)))
        load(routers)
        val judge = AnswerJudge(record)
        val violations = outcomes.flatMap(judge::violations)
        report(violations, judge, routers)

        expectThat(outcomes.count { it.answer?.isSuccess == true }).isGreaterThan(LEAST_SUCCESSES)
        expectThat(violations).isEmpty()
        expectThat(outcomes.filter { judge.originOf(it) == AnswerOrigin.EARLIER_SEND }).isEmpty()
    }

    private fun startEndpoints(
        prefix: String,
        streams: Boolean,
    ): List<String> =
        List(endpointsPerService) { number ->
            val slots = if (streams) STREAM_SLOTS else PLAIN_SLOTS
            val places = if (streams) slots * 2 else slots + PLAIN_QUEUE
            val endpointSeed = seed * SEED_STEP + number + prefix.hashCode()
            val endpoint =
                StutteringEndpoint("$prefix-$number", endpointSeed, disturbance, record, slots, places, streams)
            closeables += endpoint
            endpoint.address
        }

    /** Starts the store, which lists [engines] and [plain]; its watches find no change. */
    private fun startStore(
        engines: List<String>,
        plain: List<String>,
    ): String {
        val store =
            ScriptedEndpoint { request ->
                val target = request.head.first().split(' ')[1]
                if ("watch=" in target) TimeUnit.MILLISECONDS.sleep(WATCH_MILLIS)
                val body = WireSamples.storeBodyOfTwoServices(target.substringBefore('?'), engines, plain)
                request.respond(body, headers = listOf("Content-Type" to "application/json"))
            }
        closeables += store
        return store.address
    }

    private fun startRouters(storeAddress: String): List<RunningRouter> {
        val routers = List(ROUTERS) { RunningRouter("router-$it", folder, storeAddress).also(closeables::add) }
        routers.forEach { it.awaitReady() }
        return routers
    }

    private fun load(routers: List<RunningRouter>) {
        val endsAt = record.now() + loadTime
        val kinds = CALLERS.flatMap { (kind, count) -> List(count) { kind } }
        val callers =
            kinds.mapIndexed { number, kind ->
                val port = routers[number % routers.size].callerPort
                val caller =
                    TestCaller("c$number", kind, port, Random(seed * SEED_STEP + number), record, outcomes::add)
                thread { caller.callUntil(endsAt) }
            }
        callers.forEach { it.join() }
        // What was refused may not run later either.
        TimeUnit.MILLISECONDS.sleep(AFTER_LOAD_MILLIS)
    }

    private fun report(
        violations: List<Violation>,
        judge: AnswerJudge,
        routers: List<RunningRouter>,
    ) {
        println("seed=$seed endpoints=$endpointsPerService $disturbance")
        println("answers: ${outcomes.groupingBy { "${it.kind} ${it.answer?.status}" }.eachCount().toSortedMap()}")
        println(
            "origins: ${outcomes.groupingBy {
                "${it.kind} ${it.answer?.status} ${judge.originOf(
                    it,
                )}"
            }.eachCount().toSortedMap()}",
        )
        val classes = violations.groupingBy { "${it.rule} ${it.outcome.kind} ${it.origin} copy=${it.copyTime}" }
        println("violations: ${classes.eachCount().toSortedMap()}")
        violations.forEach { violation ->
            println(violation)
            record.sendsOf(violation.outcome.requestId).forEach { println("  $it") }
            routers.flatMap { it.logOf(violation.outcome.requestId) }.forEach { println("  log: $it") }
        }
    }

    private companion object {
        const val ROUTERS = 2
        const val STREAM_SLOTS = 8
        const val PLAIN_SLOTS = 4
        const val PLAIN_QUEUE = 4
        const val SEED_STEP = 1_000
        const val WATCH_MILLIS = 1_000L
        const val AFTER_LOAD_MILLIS = 1_500L
        const val LEAST_SUCCESSES = 1_000
        val CALLERS = mapOf(CallKind.STREAM to 16, CallKind.IDEMPOTENT to 12, CallKind.NON_IDEMPOTENT to 12)
    }
}
