package dev.almondhaven.router.claim

import arrow.core.Either
import dev.almondhaven.decision.claim.ClaimOperation
import dev.almondhaven.decision.claim.ClaimShard
import dev.almondhaven.decision.claim.ClaimVerdict
import dev.almondhaven.decision.claim.ShardStep
import dev.almondhaven.decision.claim.ShardVersion
import dev.almondhaven.decision.claim.ShardWriter
import dev.almondhaven.decision.claim.ShardWriterLimits
import dev.almondhaven.model.LogEvent
import dev.almondhaven.model.NanoClock
import dev.almondhaven.router.controller.ActorThread
import dev.almondhaven.store.ObjectKey
import dev.almondhaven.store.ObjectStore
import dev.almondhaven.store.ObjectVersion
import dev.almondhaven.store.PlatformError
import dev.almondhaven.store.WriteCondition
import io.github.oshai.kotlinlogging.KotlinLogging
import org.apache.commons.rng.simple.RandomSource
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** Thrown into the future of an operation that was not taken because too many wait; it has no effect. */
internal class ClaimOperationDropped : RuntimeException("too many claim operations wait")

/** Settles operations on claims with the platform, each shard on one of a few duty threads. */
internal class ClaimWriterPool(
    private val objects: ObjectStore,
    private val limits: ShardWriterLimits,
    private val clock: NanoClock,
    private val wallMillis: () -> Long,
) : AutoCloseable {
    private val unsettled = AtomicInteger()
    private val lanes = List(LANES) { Lane(it) }

    @Volatile
    private var closing = false

    /** Settles [operation] on [shard]; the future may end on any thread. */
    fun submit(
        shard: ClaimShard,
        operation: ClaimOperation,
    ): CompletableFuture<ClaimVerdict> {
        val submission = Submission(shard, operation, CompletableFuture())
        unsettled.incrementAndGet()
        submission.verdict.whenComplete { _, _ -> unsettled.decrementAndGet() }
        if (!lanes[shard.hashCode().mod(LANES)].duty.offer(submission)) drop(submission)
        return submission.verdict
    }

    private fun drop(submission: Submission) {
        LogEvent.CLAIM_OPERATION_DROPPED.log(logger) { "shard=${submission.shard}" }
        submission.verdict.completeExceptionally(ClaimOperationDropped())
    }

    /** Settles what waits, as far as the platform answers within a few seconds. */
    override fun close() {
        closing = true
        val end = clock.nanos() + CLOSE_PATIENCE.inWholeNanoseconds
        while (unsettled.get() > 0 && clock.nanos() - end < 0) TimeUnit.MILLISECONDS.sleep(TICK.inWholeMilliseconds)
        lanes.forEach { it.duty.stop() }
    }

    private class Submission(
        val shard: ClaimShard,
        val operation: ClaimOperation,
        val verdict: CompletableFuture<ClaimVerdict>,
    )

    private inner class Lane(
        index: Int,
    ) {
        private val shards = HashMap<ClaimShard, ActiveShard>()
        val duty: ActorThread<Submission> = ActorThread.start("claims-$index", RING, TICK, ::pumpAll, ::take)

        private fun take(submission: Submission) {
            val shard = shards.getOrPut(submission.shard) { ActiveShard(submission.shard) }
            if (!shard.writer.submit(submission.operation, submission.verdict, clock.nanos())) drop(submission)
            shard.usedAt = clock.nanos()
            // More may wait on the ring that can share the next write.
            if (duty.waiting == 0) pumpAll()
        }

        private fun pumpAll() {
            shards.values.forEach { it.pump() }
            shards.values.removeIf { it.writer.pendingCount == 0 && clock.elapsed(it.usedAt) > IDLE_SHARD }
        }
    }

    private inner class ActiveShard(
        shard: ClaimShard,
    ) {
        val writer =
            ShardWriter<CompletableFuture<ClaimVerdict>>(limits, RandomSource.XO_RO_SHI_RO_128_PP.create())
        var usedAt = clock.nanos()
        private var loggedAt: Long? = null
        private val key = ObjectKey(shard.value)

        fun pump() {
            var goesOn = true
            while (goesOn) {
                goesOn =
                    when (val step = writer.next(clock.nanos(), wallMillis(), closing)) {
                        ShardStep.Idle, is ShardStep.Wait -> false
                        ShardStep.Read -> read()
                        is ShardStep.Write -> write(step)
                    }
                writer.drainSettled().forEach { it.token.complete(it.verdict) }
            }
        }

        private fun read(): Boolean =
            objects.get(key).fold(
                { failed(it) },
                {
                    writer.onRead(it?.value, it?.version?.let { version -> ShardVersion(version.value) })
                    true
                },
            )

        private fun write(step: ShardStep.Write): Boolean {
            val condition =
                step.expected?.let { WriteCondition.AtVersion(ObjectVersion(it.value)) } ?: WriteCondition.Absent
            when (val result = objects.put(key, step.text, condition)) {
                is Either.Right -> writer.onWritten(ShardVersion(result.value.value), clock.nanos())
                is Either.Left -> failed(result.value)
            }
            return false
        }

        /** Logs the first failure and then one an interval, since an outage repeats it many times a second. */
        private fun logUnsettled(error: PlatformError) {
            val last = loggedAt
            if (last != null && clock.elapsed(last) < LOG_INTERVAL) return
            loggedAt = clock.nanos()
            LogEvent.CLAIM_WRITE_UNSETTLED.log(logger) { "shard=$key error=$error" }
        }

        private fun failed(error: PlatformError): Boolean {
            when (error) {
                PlatformError.ConditionFailed -> {
                    writer.onConflict(clock.nanos())
                }

                is PlatformError.ValueTooLarge -> {
                    writer.onTooLarge(clock.nanos())
                }

                else -> {
                    logUnsettled(error)
                    writer.onFailure(clock.nanos())
                }
            }
            return false
        }
    }

    private companion object {
        val LOG_INTERVAL = 10.seconds
        const val LANES = 4
        const val RING = 4_096
        val TICK = 20.milliseconds
        val CLOSE_PATIENCE = 3.seconds
        val IDLE_SHARD = 20.seconds
    }
}
