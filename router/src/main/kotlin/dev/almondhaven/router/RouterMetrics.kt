package dev.almondhaven.router

import dev.almondhaven.model.ResultCode
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Prometheus metrics of the router; `docs/OPERATIONS.md` describes each of them. */
public class RouterMetrics {
    /** Registry to which the components of the router add their metrics. */
    public val registry: PrometheusRegistry = PrometheusRegistry()

    private val requests =
        Counter
            .builder()
            .name("almondhaven_requests_total")
            .help("Requests by organisation and result code; 0 is success.")
            .labelNames("organisation", "code")
            .register(registry)
    private val requestDuration =
        Histogram
            .builder()
            .name("almondhaven_request_duration_seconds")
            .help("Time from the request's arrival to the end of its answer.")
            .classicOnly()
            .classicUpperBounds(0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 5.0, 30.0, 60.0)
            .register(registry)

    /** Records a completed request and its duration; [code] is null if the request succeeded. */
    public fun recordRequest(
        organisation: String,
        code: ResultCode?,
        seconds: Double,
    ) {
        requests.labelValues(organisation, "${code?.number ?: 0}").inc()
        requestDuration.observe(seconds)
    }

    /** Registers a gauge whose value is read with [read] at each scrape. */
    public fun registerGauge(
        name: String,
        help: String,
        read: () -> Double,
    ) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { it.call(read()) }
            .register(registry)
    }

    /** Formats all metrics in the Prometheus text format. */
    public fun toPrometheusText(): String {
        val output = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(output, registry.scrape())
        return output.toString(Charsets.UTF_8)
    }
}
