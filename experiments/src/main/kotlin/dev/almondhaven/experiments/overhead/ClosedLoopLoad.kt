package dev.almondhaven.experiments.overhead

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpRequest
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * The result of a load run.
 *
 * @property latency latencies in nanoseconds, including those of failed requests.
 */
public class LoadResult(
    public val latency: Histogram,
    public val elapsed: Duration,
    public val failures: Int,
) {
    /** Requests per second. */
    public val rate: Double get() = latency.totalCount / (elapsed.inWholeNanoseconds / NANOS_PER_SECOND)

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}

/** Closed-loop load generator: each worker sends its next request when the response to the previous one has arrived. */
public class ClosedLoopLoad(
    private val client: WebClient,
    private val request: () -> HttpRequest,
) {
    /** Keeps [concurrency] requests in flight for [time]. */
    public fun run(
        time: Duration,
        concurrency: Int,
    ): LoadResult {
        val latency = ConcurrentHistogram(HIGHEST_NANOS, HISTOGRAM_DIGITS)
        val failures = AtomicInteger()
        val started = System.nanoTime()
        val end = started + time.inWholeNanoseconds
        val workers = List(concurrency) { worker(end, latency, failures) }
        CompletableFuture.allOf(*workers.toTypedArray()).join()
        return LoadResult(latency, (System.nanoTime() - started).nanoseconds, failures.get())
    }

    private fun worker(
        end: Long,
        latency: Histogram,
        failures: AtomicInteger,
    ): CompletableFuture<Void> {
        val done = CompletableFuture<Void>()
        sendNext(end, latency, failures, done)
        return done
    }

    private fun sendNext(
        end: Long,
        latency: Histogram,
        failures: AtomicInteger,
        done: CompletableFuture<Void>,
    ) {
        if (System.nanoTime() - end >= 0) {
            done.complete(null)
            return
        }
        val started = System.nanoTime()
        client.execute(request()).aggregate().handle { response, cause ->
            latency.recordValue(System.nanoTime() - started)
            if (failed(response, cause)) failures.incrementAndGet()
            sendNext(end, latency, failures, done)
        }
    }

    private fun failed(
        response: AggregatedHttpResponse?,
        cause: Throwable?,
    ): Boolean = cause != null || response == null || !response.status().isSuccess

    private companion object {
        const val HIGHEST_NANOS = 60_000_000_000L
        const val HISTOGRAM_DIGITS = 3
    }
}
