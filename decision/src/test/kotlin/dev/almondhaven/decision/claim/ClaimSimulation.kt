package dev.almondhaven.decision.claim

import dev.almondhaven.model.Outcome
import dev.almondhaven.model.ResultCode
import dev.almondhaven.model.RouterId
import org.apache.commons.rng.simple.RandomSource
import java.util.Random

/** A rule that a simulation leaves out, to show that the properties rest on it. */
internal enum class Omitted { NOTHING, CONDITIONAL_UPDATE, VOID_RULE, DISPATCH_BOUND, ARRIVAL_ORDER }

/**
 * Several routers that handle calls under a few keys, with everything that may go wrong between them and the platform,
 * in an order drawn from [seed]. The decisions are the real ones; time, messages and the platform are simulated.
 */
internal class ClaimSimulation(
    seed: Long,
    private val omitted: Omitted = Omitted.NOTHING,
) {
    private val random = Random(seed)
    private val shard = FaultyShard(random, omitted != Omitted.CONDITIONAL_UPDATE)
    private val events = ArrayList<Event>()
    private val routers = ArrayList<SimulatedRouter>()
    private val calls = ArrayList<SimulatedCall>()
    private var now = 0L
    private var started = 0

    /** What broke a property. */
    val violations = LinkedHashSet<String>()

    /** Calls that reached the service. */
    val dispatched get() = calls.count { it.sent }

    /** Calls by the outcome or answer their callers got. */
    val ends get() = calls.groupingBy { it.end }.eachCount()

    private class Event(
        val router: SimulatedRouter,
        val action: () -> Unit,
    )

    private inner class SimulatedRouter {
        val id = RouterId("router-${started++}")
        val ledger = AttemptLedger(id)
        val skewMillis = random.nextInt(200).toLong()
        val writer =
            ShardWriter<SimulatedCall?>(ShardWriterLimits(), RandomSource.SPLIT_MIX_64.create(random.nextLong()))
        var pausedUntil = 0L
        var alive = true

        fun wallMillis() = now / NANOS_PER_MILLI + skewMillis

        fun pump() {
            when (val step = writer.next(now, wallMillis())) {
                ShardStep.Idle, is ShardStep.Wait -> Unit
                ShardStep.Read -> if (!shard.read(writer)) writer.onFailure(now)
                is ShardStep.Write -> report(shard.put(step))
            }
            writer.drainSettled().forEach { settled -> settled.token?.let { it.verdict(settled.verdict) } }
        }

        private fun report(result: FaultyShard.PutResult) {
            when (result) {
                is FaultyShard.PutResult.Written -> writer.onWritten(result.version, now)
                FaultyShard.PutResult.Conflict -> writer.onConflict(now)
                FaultyShard.PutResult.NoAnswer -> writer.onFailure(now)
            }
        }

        /** The owner of the shard may settle the operation, or both, and its answer may be lost. */
        fun settle(
            operation: ClaimOperation,
            call: SimulatedCall?,
        ) {
            val owner = routers[random.nextInt(routers.size)]
            later(owner) { owner.writer.submit(operation, call.takeIf { random.nextInt(5) > 0 }, now) }
            if (owner !== this && random.nextInt(3) == 0) later(this) { writer.submit(operation, call, now) }
            if (random.nextInt(10) == 0) later(owner) { owner.writer.submit(operation, null, now) }
        }

        fun answerQuestion(attempt: Attempt): AttemptStatus {
            if (omitted != Omitted.VOID_RULE) return ledger.statusAt(attempt, now)
            val status = ledger.statusAt(attempt, now)
            return if (status == AttemptStatus.Pending) AttemptStatus.Void else status
        }
    }

    private inner class SimulatedCall(
        val router: SimulatedRouter,
        val key: Digest,
    ) {
        val body = Digest("body-${random.nextInt(5) / 4}")
        private val at = router.wallMillis()
        val bound = now + BOUND_NANOS
        val arrivedAt = now
        private val attempt =
            router.ledger.issue(if (omitted == Omitted.DISPATCH_BOUND) Long.MAX_VALUE / 2 else bound)
        private val process =
            ClaimStateMachine(ClaimRequest(key, body, claimedAt()), attempt, router.ledger)
        var sent = false
        var end = "none"
        var reused = false

        fun start(): Unit = run(process.start())

        fun verdict(verdict: ClaimVerdict): Unit = later(router) { run(process.onVerdict(verdict)) }

        fun checkDeadline() {
            if (now >= bound) run(process.onDeadline())
        }

        private fun run(actions: List<ClaimAction>): Unit = actions.forEach { run(it) }

        private fun run(action: ClaimAction) {
            when (action) {
                is ClaimAction.Submit -> router.settle(action.operation, this)
                is ClaimAction.Record -> router.settle(action.operation, null)
                ClaimAction.Dispatch -> later(router) { dispatch() }
                is ClaimAction.QueryStatus -> ask(action.attempt)
                ClaimAction.Delay -> later(router) { run(process.onDelayElapsed()) }
                ClaimAction.Deliver -> end = "delivered"
                is ClaimAction.Replay -> end = "replayed"
                is ClaimAction.Refuse -> refuse(action)
                is ClaimAction.Fail -> end = action.outcome.wireName
            }
        }

        private fun claimedAt(): Long = if (omitted == Omitted.ARRIVAL_ORDER) at + random.nextInt(10_000) else at

        private fun refuse(action: ClaimAction.Refuse) {
            end = action.outcome.wireName
            reused = action.code == ResultCode.CLAIM_KEY_REUSED
        }

        private fun ask(asked: Attempt) {
            val holder = routers.firstOrNull { it.id == asked.holder }
            if (holder == null || (holder !== router && random.nextInt(6) == 0)) {
                return later(router) { run(process.onStatus(asked, null, holder != null)) }
            }
            later(holder) {
                val status = holder.answerQuestion(asked)
                later(router) { run(process.onStatus(asked, status, true)) }
            }
        }

        private fun dispatch() {
            val passed = random.nextInt(6) > 0 && router.ledger.tryDispatch(attempt, now)
            if (passed && random.nextInt(8) == 0) {
                router.ledger.undoDispatch(attempt)
            } else if (passed) {
                send()
            }
            val answered = sent && random.nextInt(4) > 0
            val answer = RecordedResponse(200, "text/plain", "").takeIf { random.nextBoolean() }
            later(router) {
                run(process.onDispatchResult(if (answered) DispatchResult.Answered(answer) else DispatchResult.Failed))
            }
        }

        private fun send() {
            sent = true
            if (calls.any { it !== this && it.key == key && it.sent }) violations += "dispatched twice: $key"
            if (now >= bound) violations += "dispatched after its bound: $key"
        }
    }

    private fun later(
        router: SimulatedRouter,
        action: () -> Unit,
    ) {
        events += Event(router, action)
    }

    /** Runs [steps] random steps, then lets everything come to rest. */
    fun run(steps: Int = 400): ClaimSimulation {
        repeat(ROUTERS) { routers += SimulatedRouter() }
        repeat(steps) {
            now += random.nextInt(40) * NANOS_PER_MILLI
            step(random.nextInt(100))
        }
        shard.down = false
        repeat(steps * 2) {
            now += random.nextInt(40) * NANOS_PER_MILLI
            step(LAST_DISTURBANCE + random.nextInt(100 - LAST_DISTURBANCE))
        }
        checkRefusals()
        return this
    }

    private fun step(draw: Int) {
        val router = routers[random.nextInt(routers.size)]
        when {
            draw < 4 -> calls += SimulatedCall(router, Digest("key-${random.nextInt(3)}")).also { it.start() }
            draw < 5 -> replace(router)
            draw < 7 -> router.pausedUntil = now + random.nextInt(4_000) * NANOS_PER_MILLI
            draw < LAST_DISTURBANCE -> shard.down = !shard.down && random.nextBoolean()
            draw < 11 -> shard.applyLateWrite()
            draw < 45 -> if (runs(router)) router.pump()
            draw < 50 -> calls.filter { runs(it.router) }.forEach { it.checkDeadline() }
            else -> deliver()
        }
    }

    private fun replace(router: SimulatedRouter) {
        router.alive = false
        routers -= router
        routers += SimulatedRouter()
    }

    private fun runs(router: SimulatedRouter) = router.alive && router.pausedUntil <= now

    private fun deliver() {
        events.removeIf { !it.router.alive }
        val ready = events.filter { runs(it.router) }
        if (ready.isEmpty()) return
        val event = ready[random.nextInt(ready.size)]
        events -= event
        event.action()
    }

    private fun checkRefusals() {
        calls.filter { it.end == Outcome.NOT_RUN.wireName }.forEach { refused ->
            val same = calls.filter { it.key == refused.key && (!refused.reused || it.body == refused.body) }
            val untrue = same.any { it.sent && it.arrivedAt <= refused.arrivedAt }
            if (untrue) violations += "an untrue not_run: ${refused.key}"
        }
    }

    private companion object {
        const val ROUTERS = 3
        const val LAST_DISTURBANCE = 8
        const val NANOS_PER_MILLI = 1_000_000L
        const val BOUND_NANOS = 2_000 * NANOS_PER_MILLI
    }
}
