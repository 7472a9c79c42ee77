package dev.almondhaven.router.controller

import dev.almondhaven.model.NanoClock
import dev.almondhaven.router.RouterMetrics
import dev.almondhaven.router.settings.PlatformSettings
import dev.almondhaven.store.CallGuards
import dev.almondhaven.store.CircuitBreaker
import dev.almondhaven.store.FleetRateShare
import dev.almondhaven.store.GuardedObjectStore
import dev.almondhaven.store.ObjectStore
import dev.almondhaven.store.PlatformCallListener
import dev.almondhaven.store.ProcessRateLimiter
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlin.random.Random
import kotlin.time.DurationUnit

/**
 * Burst size of the call budgets: calls that the owner of a shard may make beyond its share while it owns the shard.
 */
private const val BURST_CALLS = 100.0

/**
 * Wraps [platform] for this router: limits calls to the router's share of the platform's rate, and adds a circuit
 * breaker, retries and metrics.
 */
internal fun guardedObjectStore(
    platform: ObjectStore,
    settings: PlatformSettings,
    clock: NanoClock,
    metrics: RouterMetrics,
    fleetSize: () -> Int,
): ObjectStore {
    val share = FleetRateShare(clock, fleetSize = fleetSize)
    val circuitBreaker = CircuitBreaker(clock, Random.Default)
    val guards =
        CallGuards(
            readLimiter = ProcessRateLimiter(clock, BURST_CALLS) { share.of(settings.readsPerSecond) },
            writeLimiter = ProcessRateLimiter(clock, BURST_CALLS) { share.of(settings.writesPerSecond) },
            circuitBreaker = circuitBreaker,
            listener = platformCallMetrics(metrics.registry),
        )
    metrics.registerGauge("almondhaven_platform_circuit_open", "1 while calls of the platform are held back.") {
        if (circuitBreaker.isOpen) 1.0 else 0.0
    }
    return GuardedObjectStore(platform, guards, clock, Random.Default)
}

private fun platformCallMetrics(registry: PrometheusRegistry): PlatformCallListener {
    val callCounter =
        Counter
            .builder()
            .name("almondhaven_platform_calls_total")
            .help("Calls of the object API by kind and result.")
            .labelNames("kind", "result")
            .register(registry)
    val durationHistogram =
        Histogram
            .builder()
            .name("almondhaven_platform_call_duration_seconds")
            .help("Time of a call of the object API by kind.")
            .labelNames("kind")
            .classicOnly()
            .classicUpperBounds(0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 2.0, 30.0)
            .register(registry)
    return PlatformCallListener { kind, error, duration ->
        callCounter.labelValues(kind.name.lowercase(), error?.javaClass?.simpleName ?: "answered").inc()
        durationHistogram.labelValues(kind.name.lowercase()).observe(duration.toDouble(DurationUnit.SECONDS))
    }
}
