package dev.almondhaven.decision.claim

import dev.almondhaven.model.Outcome
import dev.almondhaven.model.ResultCode
import dev.almondhaven.model.RouterId
import org.apache.commons.rng.simple.RandomSource
import java.util.Random

/** A rule that a simulation leaves out to show that the properties depend on it. */
internal enum class OmittedRule { NONE, COMPARE_AND_SET, VOID_RULE, DISPATCH_DEADLINE, ARRIVAL_ORDER }

/**
 * Simulates routers that handle calls under a few keys, with faults between the routers and the platform, in an order
 * drawn from [seed]. The claim logic is the production code; time, messages and the platform are simulated.
 */
internal class ClaimSimulation(
    seed: Long,
    private val omitted: OmittedRule = OmittedRule.NONE,
) {
    private val random = Random(seed)
    private val shard = FaultyShard(random, omitted != OmittedRule.COMPARE_AND_SET)
    private val events = ArrayList<Event>()
    private val routers = ArrayList<SimulatedRouter>()
    private val calls = ArrayList<SimulatedCall>()
    private var now = 0L
    private var started = 0

    /** Descriptions of the violated properties. */
    val violations = LinkedHashSet<String>()

    /** Calls that reached the service. */
    val dispatched get() = calls.count { it.sent }

    /** Numbers of calls by the outcome or response their callers got. */
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

        /**
         * A random owner settles the operation, sometimes this router too or the owner twice; the verdict may be lost.
         */
        fun settle(
            operation: ClaimOperation,
            call: SimulatedCall?,
        ) {
            val owner = routers[random.nextInt(routers.size)]
            later(owner) { owner.writer.submit(operation, call.takeIf { random.nextInt(5) > 0 }, now) }
            if (owner !== this && random.nextInt(3) == 0) later(this) { writer.submit(operation, call, now) }
            if (random.nextInt(10) == 0) later(owner) { owner.writer.submit(operation, null, now) }
        }

        fun reportStatus(attempt: Attempt): AttemptStatus {
            if (omitted != OmittedRule.VOID_RULE) return ledger.statusAt(attempt, now)
            val status = ledger.statusAt(attempt, now)
            return if (status == AttemptStatus.Pending) AttemptStatus.Void else status
        }
    }

    private inner class SimulatedCall(
        val router: SimulatedRouter,
        val key: Digest,
    ) {
        val body = Digest("body-${random.nextInt(5) / 4}")
        private val arrivalMillis = router.wallMillis()
        val dispatchDeadline = now + DISPATCH_TIMEOUT_NANOS
        val arrivedAt = now
        private val attempt =
            router.ledger.issue(if (omitted == OmittedRule.DISPATCH_DEADLINE) Long.MAX_VALUE / 2 else dispatchDeadline)
        private val stateMachine =
            ClaimStateMachine(ClaimRequest(key, body, claimedAt()), attempt, router.ledger)
        var sent = false
        var end = "none"
        var reused = false

        fun start(): Unit = run(stateMachine.start())

        fun verdict(verdict: ClaimVerdict): Unit = later(router) { run(stateMachine.onVerdict(verdict)) }

        fun checkDeadline() {
            if (now >= dispatchDeadline) run(stateMachine.onDeadline())
        }

        private fun run(actions: List<ClaimAction>): Unit = actions.forEach { run(it) }

        private fun run(action: ClaimAction) {
            when (action) {
                is ClaimAction.Submit -> router.settle(action.operation, this)
                is ClaimAction.Record -> router.settle(action.operation, null)
                ClaimAction.Dispatch -> later(router) { dispatch() }
                is ClaimAction.QueryStatus -> queryStatus(action.attempt)
                ClaimAction.Delay -> later(router) { run(stateMachine.onDelayElapsed()) }
                ClaimAction.Deliver -> end = "delivered"
                is ClaimAction.Replay -> end = "replayed"
                is ClaimAction.Refuse -> refuse(action)
                is ClaimAction.Fail -> end = action.outcome.wireName
            }
        }

        private fun claimedAt(): Long =
            if (omitted == OmittedRule.ARRIVAL_ORDER) arrivalMillis + random.nextInt(10_000) else arrivalMillis

        private fun refuse(action: ClaimAction.Refuse) {
            end = action.outcome.wireName
            reused = action.code == ResultCode.CLAIM_KEY_REUSED
        }

        private fun queryStatus(queried: Attempt) {
            val holder = routers.firstOrNull { it.id == queried.holder }
            if (holder == null || (holder !== router && random.nextInt(6) == 0)) {
                return later(router) { run(stateMachine.onStatus(queried, null, holder != null)) }
            }
            later(holder) {
                val status = holder.reportStatus(queried)
                later(router) { run(stateMachine.onStatus(queried, status, true)) }
            }
        }

        private fun dispatch() {
            val dispatchable = random.nextInt(6) > 0 && router.ledger.tryDispatch(attempt, now)
            if (dispatchable && random.nextInt(8) == 0) {
                router.ledger.undoDispatch(attempt)
            } else if (dispatchable) {
                send()
            }
            val answered = sent && random.nextInt(4) > 0
            val response = RecordedResponse(200, "text/plain", "").takeIf { random.nextBoolean() }
            later(router) {
                run(
                    stateMachine.onDispatchResult(
                        if (answered) DispatchResult.Answered(response) else DispatchResult.Failed,
                    ),
                )
            }
        }

        private fun send() {
            sent = true
            if (calls.any { it !== this && it.key == key && it.sent }) violations += "dispatched twice: $key"
            if (now >= dispatchDeadline) violations += "dispatched after its deadline: $key"
        }
    }

    private fun later(
        router: SimulatedRouter,
        action: () -> Unit,
    ) {
        events += Event(router, action)
    }

    /** Runs [steps] random steps with faults, then twice as many without them. */
    fun run(steps: Int = 400): ClaimSimulation {
        repeat(ROUTERS) { routers += SimulatedRouter() }
        repeat(steps) {
            now += random.nextInt(40) * NANOS_PER_MILLI
            step(random.nextInt(100))
        }
        shard.down = false
        repeat(steps * 2) {
            now += random.nextInt(40) * NANOS_PER_MILLI
            step(FIRST_FAULT_FREE_DRAW + random.nextInt(100 - FIRST_FAULT_FREE_DRAW))
        }
        checkRefusals()
        return this
    }

    private fun step(draw: Int) {
        val router = routers[random.nextInt(routers.size)]
        when {
            draw < 4 -> calls += SimulatedCall(router, Digest("key-${random.nextInt(3)}")).also { it.start() }
            draw < 5 -> restart(router)
            draw < 7 -> router.pausedUntil = now + random.nextInt(4_000) * NANOS_PER_MILLI
            draw < FIRST_FAULT_FREE_DRAW -> shard.down = !shard.down && random.nextBoolean()
            draw < 11 -> shard.applyDelayedWrite()
            draw < 45 -> if (isRunning(router)) router.pump()
            draw < 50 -> calls.filter { isRunning(it.router) }.forEach { it.checkDeadline() }
            else -> deliverRandomEvent()
        }
    }

    private fun restart(router: SimulatedRouter) {
        router.alive = false
        routers -= router
        routers += SimulatedRouter()
    }

    private fun isRunning(router: SimulatedRouter) = router.alive && router.pausedUntil <= now

    private fun deliverRandomEvent() {
        events.removeIf { !it.router.alive }
        val ready = events.filter { isRunning(it.router) }
        if (ready.isEmpty()) return
        val event = ready[random.nextInt(ready.size)]
        events -= event
        event.action()
    }

    private fun checkRefusals() {
        calls.filter { it.end == Outcome.NOT_RUN.wireName }.forEach { refused ->
            val same = calls.filter { it.key == refused.key && (!refused.reused || it.body == refused.body) }
            val isFalse = same.any { it.sent && it.arrivedAt <= refused.arrivedAt }
            if (isFalse) violations += "false not_run: ${refused.key}"
        }
    }

    private companion object {
        const val ROUTERS = 3
        const val FIRST_FAULT_FREE_DRAW = 8
        const val NANOS_PER_MILLI = 1_000_000L
        const val DISPATCH_TIMEOUT_NANOS = 2_000 * NANOS_PER_MILLI
    }
}
