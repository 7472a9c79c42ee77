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

/** Completes the future of an operation that was rejected because a queue was full; the operation has no effect. */
internal class ClaimOperationDropped : RuntimeException("too many claim operations are queued")

/**
 * Writes claim operations to the platform on a fixed number of threads. Each shard is assigned to one thread, so the
 * operations on a shard need no locks.
 */
internal class ClaimWriterPool(
    private val objects: ObjectStore,
    private val limits: ShardWriterLimits,
    private val clock: NanoClock,
    private val wallMillis: () -> Long,
) : AutoCloseable {
    private val unsettledCount = AtomicInteger()
    private val workers = List(WORKER_COUNT) { Worker(it) }

    @Volatile
    private var closing = false

    /** Queues [operation] to be written to [shard]; the returned verdict may complete on any thread. */
    fun submit(
        shard: ClaimShard,
        operation: ClaimOperation,
    ): CompletableFuture<ClaimVerdict> {
        val submission = Submission(shard, operation, CompletableFuture())
        unsettledCount.incrementAndGet()
        submission.verdict.whenComplete { _, _ -> unsettledCount.decrementAndGet() }
        if (!workers[shard.hashCode().mod(WORKER_COUNT)].actor.offer(submission)) reject(submission)
        return submission.verdict
    }

    private fun reject(submission: Submission) {
        LogEvent.CLAIM_OPERATION_DROPPED.log(logger) { "shard=${submission.shard}" }
        submission.verdict.completeExceptionally(ClaimOperationDropped())
    }

    /** Waits up to [CLOSE_TIMEOUT] for the platform to settle the queued operations, and stops the threads. */
    override fun close() {
        closing = true
        val closeDeadline = clock.nanos() + CLOSE_TIMEOUT.inWholeNanoseconds
        while (unsettledCount.get() > 0 && clock.nanos() - closeDeadline < 0) {
            TimeUnit.MILLISECONDS.sleep(TICK_INTERVAL.inWholeMilliseconds)
        }
        workers.forEach { it.actor.stop() }
    }

    private class Submission(
        val shard: ClaimShard,
        val operation: ClaimOperation,
        val verdict: CompletableFuture<ClaimVerdict>,
    )

    private inner class Worker(
        index: Int,
    ) {
        private val shards = HashMap<ClaimShard, ActiveShard>()
        val actor: ActorThread<Submission> =
            ActorThread.start("claims-$index", MAILBOX_CAPACITY, TICK_INTERVAL, ::advanceAll, ::accept)

        private fun accept(submission: Submission) {
            val shard = shards.getOrPut(submission.shard) { ActiveShard(submission.shard) }
            if (!shard.writer.submit(submission.operation, submission.verdict, clock.nanos())) reject(submission)
            shard.lastUsedAt = clock.nanos()
            // Operations that are still queued may share the next write.
            if (actor.waiting == 0) advanceAll()
        }

        private fun advanceAll() {
            shards.values.forEach { it.advance() }
            shards.values.removeIf { it.writer.pendingCount == 0 && clock.elapsed(it.lastUsedAt) > SHARD_IDLE_TIMEOUT }
        }
    }

    private inner class ActiveShard(
        shard: ClaimShard,
    ) {
        val writer =
            ShardWriter<CompletableFuture<ClaimVerdict>>(limits, RandomSource.XO_RO_SHI_RO_128_PP.create())
        var lastUsedAt = clock.nanos()
        private var lastLoggedAt: Long? = null
        private val key = ObjectKey(shard.value)

        fun advance() {
            var hasMore = true
            while (hasMore) {
                hasMore =
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
                { onError(it) },
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
                is Either.Left -> onError(result.value)
            }
            return false
        }

        /** Logs at most one failure per [LOG_INTERVAL], since an outage causes many failures a second. */
        private fun logRateLimited(error: PlatformError) {
            val last = lastLoggedAt
            if (last != null && clock.elapsed(last) < LOG_INTERVAL) return
            lastLoggedAt = clock.nanos()
            LogEvent.CLAIM_WRITE_UNSETTLED.log(logger) { "shard=$key error=$error" }
        }

        private fun onError(error: PlatformError): Boolean {
            when (error) {
                PlatformError.ConditionFailed -> {
                    writer.onConflict(clock.nanos())
                }

                is PlatformError.ValueTooLarge -> {
                    writer.onTooLarge(clock.nanos())
                }

                else -> {
                    logRateLimited(error)
                    writer.onFailure(clock.nanos())
                }
            }
            return false
        }
    }

    private companion object {
        val LOG_INTERVAL = 10.seconds
        const val WORKER_COUNT = 4
        const val MAILBOX_CAPACITY = 4_096
        val TICK_INTERVAL = 20.milliseconds
        val CLOSE_TIMEOUT = 3.seconds
        val SHARD_IDLE_TIMEOUT = 20.seconds
    }
}
