package dev.almondhaven.experiments.claims

import dev.almondhaven.decision.claim.Attempt
import dev.almondhaven.decision.claim.ClaimKey
import dev.almondhaven.decision.claim.ClaimOperation
import dev.almondhaven.decision.claim.ClaimPlacement
import dev.almondhaven.decision.claim.ClaimShard
import dev.almondhaven.decision.claim.Digest
import dev.almondhaven.decision.claim.RecordedResponse
import dev.almondhaven.decision.claim.ShardStep
import dev.almondhaven.decision.claim.ShardVersion
import dev.almondhaven.decision.claim.ShardWriter
import dev.almondhaven.decision.claim.ShardWriterLimits
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.Outcome
import dev.almondhaven.model.RouterId
import dev.almondhaven.model.ServiceId
import dev.almondhaven.store.CircuitBreaker
import dev.almondhaven.store.ProcessRateLimiter
import org.HdrHistogram.Histogram
import org.apache.commons.rng.simple.RandomSource
import java.util.Base64
import java.util.PriorityQueue
import java.util.Random
import kotlin.math.ln

/**
 * Parameters of a [ClaimLoad].
 *
 * @property claimsPerSecond non-idempotent calls per second in the whole fleet.
 * @property hasTimestampedKeys whether idempotency keys are version 7 UUIDs, which carry a timestamp.
 * @property ownerShare share of the operations that reach the router owning the shard; other routers write the rest.
 * @property outage seconds of virtual time in which the platform is down; empty for none.
 */
internal data class ClaimLoadPlan(
    val claimsPerSecond: Double,
    val hasTimestampedKeys: Boolean = true,
    val ownerShare: Double = 1.0,
    val outage: IntRange = IntRange.EMPTY,
    val seconds: Int = 120,
    val routers: Int = 370,
)

/** Measurements of a [ClaimLoad]; arrays are indexed by the second of virtual time. */
internal class ClaimLoadResult(
    val writesBySecond: IntArray,
    val readsBySecond: IntArray,
    val settledBySecond: IntArray,
    val latencyMicros: Histogram,
    val bytesWritten: Long,
    val claims: Int,
    val largestObject: Int,
    val bytesPerClaim: Double,
)

/** Drives the production shard writers in virtual time against a platform that answers each call in 5 ms. */
internal class ClaimLoad(
    private val plan: ClaimLoadPlan,
) {
    private class Stored(
        val text: String,
        val version: Long,
    )

    private class PendingOperation(
        val claimedAt: Long,
        val operation: ClaimOperation,
    )

    private class ScheduledAction(
        val at: Long,
        val sequence: Long,
        val action: () -> Unit,
    )

    private var now = 0L
    private var sequence = 0L
    private val random = Random(SEED)
    private val timeline = PriorityQueue<ScheduledAction>(compareBy({ it.at }, { it.sequence }))
    private val objects = HashMap<ClaimShard, Stored>()
    private val writers = HashMap<WriterKey, WriterDriver>()
    private val limitsByRouter = HashMap<Int, RouterLimits>()
    private val writes = IntArray(plan.seconds + 1)
    private val reads = IntArray(plan.seconds + 1)
    private val settled = IntArray(plan.seconds + 1)
    private val latency = Histogram(HIGHEST_MICROS, 3)
    private var bytes = 0L
    private var claims = 0
    private var largest = 0

    private data class WriterKey(
        val shard: ClaimShard,
        val router: Int,
    )

    /** Circuit breaker and platform call budgets of one router. */
    private inner class RouterLimits {
        val clock = NanoClock { now }
        val breaker = CircuitBreaker(clock, kotlin.random.Random(random.nextInt()))
        val writes = ProcessRateLimiter(clock, CALL_BURST) { WRITES_PER_SECOND / plan.routers }
        val reads = ProcessRateLimiter(clock, CALL_BURST) { READS_PER_SECOND / plan.routers }
    }

    private inner class WriterDriver(
        val shard: ClaimShard,
        router: Int,
    ) {
        val writer =
            ShardWriter<PendingOperation>(ShardWriterLimits(), RandomSource.SPLIT_MIX_64.create(random.nextLong()))
        private val limits = limitsByRouter.getOrPut(router) { RouterLimits() }
        private val inbox = ArrayList<PendingOperation>()
        private var isCallInProgress = false
        private var wakeAt = Long.MAX_VALUE

        fun submit(token: PendingOperation) {
            inbox += token
            advance()
        }

        private fun advance() {
            if (isCallInProgress) return
            inbox.forEach { writer.submit(it.operation, it, now) }
            inbox.clear()
            when (val step = writer.next(now, now / NANOS_PER_MILLI)) {
                ShardStep.Idle -> Unit
                is ShardStep.Wait -> wake(step.until)
                ShardStep.Read -> call(limits.reads, reads) { read() }
                is ShardStep.Write -> call(limits.writes, writes) { write(step) }
            }
            writer.drainSettled().forEach { onSettled(shard, it.token) }
        }

        private fun wake(at: Long) {
            if (wakeAt in (now + 1)..at) return
            wakeAt = at
            schedule(at) { advance() }
        }

        private fun call(
            budget: ProcessRateLimiter,
            callsBySecond: IntArray,
            action: () -> Unit,
        ) {
            val pause = budget.tryAcquire().inWholeNanoseconds
            if (pause > 0) return schedule(now + pause) { advance() }
            if (!limits.breaker.tryAcquire()) return schedule(now + BREAKER_POLL_NANOS) { advance() }
            callsBySecond[second()]++
            isCallInProgress = true
            val isOutage = second() in plan.outage
            schedule(now + if (isOutage) CALL_TIMEOUT_NANOS else CALL_LATENCY_NANOS) {
                isCallInProgress = false
                if (isOutage) {
                    limits.breaker.recordFailure()
                    writer.onFailure(now)
                } else {
                    if (limits.breaker.recordResponse()) limits.writes.drain()
                    action()
                }
                advance()
            }
        }

        private fun read() {
            val stored = objects[shard]
            writer.onRead(stored?.text, stored?.let { ShardVersion(it.version) })
        }

        private fun write(step: ShardStep.Write) {
            val current = objects[shard]?.version
            if (current != step.expected?.value) return writer.onConflict(now)
            val version = (current ?: 0) + 1
            objects[shard] = Stored(step.text, version)
            bytes += step.text.length
            largest = maxOf(largest, step.text.length)
            writer.onWritten(ShardVersion(version), now)
        }
    }

    fun run(): ClaimLoadResult {
        arrive()
        val end = plan.seconds * NANOS_PER_SECOND
        while (timeline.isNotEmpty() && timeline.peek().at < end) {
            val next = timeline.poll()
            now = next.at
            next.action()
        }
        val storedBytesPerClaim = objects.values.sumOf { it.text.length }.toDouble() / maxOf(claims, 1)
        return ClaimLoadResult(writes, reads, settled, latency, bytes, claims, largest, storedBytesPerClaim)
    }

    private fun arrive() {
        val gap = -ln(1 - random.nextDouble()) / plan.claimsPerSecond * NANOS_PER_SECOND
        schedule(now + gap.toLong()) {
            claim()
            arrive()
        }
    }

    private fun claim() {
        claims++
        val key = ClaimKey(OrganisationId("roofers"), ServiceId("orders"), keyText())
        val placement = ClaimPlacement.of(key, now / NANOS_PER_MILLI) as ClaimPlacement.InShard
        val attempt = Attempt(RouterId("west-1f2e3d4c5b6a7980"), claims.toLong())
        val claim = ClaimOperation.Claim(key.digest, attempt, Digest.of(byteArrayOf(1)), now / NANOS_PER_MILLI)
        driver(placement.shard).submit(PendingOperation(now, claim))
    }

    private fun keyText(): String {
        if (!plan.hasTimestampedKeys) return "order-$claims"
        val time = "%012x".format(now / NANOS_PER_MILLI)
        return "${time.take(8)}-${time.drop(8)}-7000-8000-${"%012x".format(claims)}"
    }

    private fun driver(shard: ClaimShard): WriterDriver {
        val owner = shard.hashCode().mod(plan.routers)
        val router = if (random.nextDouble() < plan.ownerShare) owner else random.nextInt(plan.routers)
        return writers.getOrPut(WriterKey(shard, router)) { WriterDriver(shard, router) }
    }

    private fun onSettled(
        shard: ClaimShard,
        token: PendingOperation,
    ) {
        val claim = token.operation as? ClaimOperation.Claim ?: return
        latency.recordValue((now - token.claimedAt) / NANOS_PER_MICRO)
        settled[second()]++
        val service = (-ln(1 - random.nextDouble()) * MEAN_SERVICE_NANOS).toLong()
        schedule(now + service) {
            val finish = ClaimOperation.Finish(claim.key, claim.attempt, Outcome.RAN, ANSWER)
            driver(shard).submit(PendingOperation(now, finish))
        }
    }

    private fun second() = (now / NANOS_PER_SECOND).toInt().coerceAtMost(plan.seconds)

    private fun schedule(
        at: Long,
        action: () -> Unit,
    ) {
        timeline += ScheduledAction(at, sequence++, action)
    }

    private companion object {
        const val SEED = 7L
        const val NANOS_PER_MICRO = 1_000L
        const val NANOS_PER_MILLI = 1_000_000L
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val CALL_LATENCY_NANOS = 5 * NANOS_PER_MILLI
        const val CALL_TIMEOUT_NANOS = 2 * NANOS_PER_SECOND
        const val BREAKER_POLL_NANOS = 100 * NANOS_PER_MILLI
        const val MEAN_SERVICE_NANOS = 300.0 * NANOS_PER_MILLI
        const val HIGHEST_MICROS = 600_000_000L
        const val CALL_BURST = 100.0
        const val WRITES_PER_SECOND = 200.0
        const val READS_PER_SECOND = 1_500.0
        const val ANSWER_BYTES = 200
        val ANSWER =
            RecordedResponse(200, "application/json", Base64.getEncoder().encodeToString(ByteArray(ANSWER_BYTES)))
    }
}
