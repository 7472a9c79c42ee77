package dev.almondhaven.experiments.overhead

import com.google.common.hash.Hashing
import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import dev.almondhaven.catalogue.AllowedModel
import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.catalogue.EndpointChanges
import dev.almondhaven.catalogue.FailureDomain
import dev.almondhaven.catalogue.FailureDomainChanges
import dev.almondhaven.catalogue.ModelChanges
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.Organisation
import dev.almondhaven.catalogue.OrganisationChanges
import dev.almondhaven.catalogue.OrganisationLimits
import dev.almondhaven.catalogue.Price
import dev.almondhaven.catalogue.QualityPrior
import dev.almondhaven.catalogue.QualityTarget
import dev.almondhaven.catalogue.ReleaseNote
import dev.almondhaven.experiments.Experiment
import dev.almondhaven.experiments.ExperimentReport
import dev.almondhaven.experiments.ExperimentReport.Companion.number
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.ModelId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.NoteId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.RegionId
import dev.almondhaven.model.VersionId
import dev.almondhaven.router.Router
import dev.almondhaven.router.settings.PlatformSettings
import dev.almondhaven.router.settings.ProcessSettings
import dev.almondhaven.router.settings.RouterSettings
import dev.almondhaven.standins.EngineStandIn
import dev.almondhaven.standins.StandInServer
import dev.almondhaven.store.ConfigurationStore
import dev.almondhaven.store.InMemoryObjectStore
import dev.almondhaven.store.Publisher
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Measures the latency that the router adds to a short request, compared with direct calls to the simulated engine. */
public class OverheadExperiment : Experiment {
    override val name: String = "overhead"
    override val about: String = "Latency and rate of short requests through the router against the engine alone."

    override fun run(report: ExperimentReport) {
        val engine = EngineStandIn()
        StandInServer.start { engine.addTo(it) }.use { server ->
            val objects = InMemoryObjectStore()
            publish(objects, server.hostAndPort)
            Router.start(settings(), objects).use { router ->
                awaitReady(router)
                compare(report, server.hostAndPort, "127.0.0.1:${router.port}")
            }
        }
    }

    private fun compare(
        report: ExperimentReport,
        engine: String,
        router: String,
    ) {
        val cores = Runtime.getRuntime().availableProcessors()
        report.text(
            "Router, engine stand-in and load generator share one process and $cores cores; short whole answers of " +
                "$TOKENS tokens; goal: p99 under 1 ms added, 20,000 requests/s.",
        )
        val rows =
            CONCURRENCY.map { concurrency ->
                val direct = measure(engine, concurrency)
                val routed = measure(router, concurrency)
                row(concurrency, direct, routed)
            }
        report.table("Short requests", COLUMNS, rows)
    }

    private fun measure(
        address: String,
        concurrency: Int,
    ): LoadResult {
        ClientFactory.builder().maxNumEventLoopsPerEndpoint(LOAD_EVENT_LOOPS).build().use { factory ->
            val client = WebClient.builder("http://$address").factory(factory).build()
            val load = ClosedLoopLoad(client) { shortRequest() }
            load.run(WARM_UP_TIME, concurrency)
            return load.run(MEASURED_TIME, concurrency)
        }
    }

    private fun row(
        concurrency: Int,
        direct: LoadResult,
        routed: LoadResult,
    ): List<String> {
        val addedMedian = millis(routed, MEDIAN) - millis(direct, MEDIAN)
        val addedTail = millis(routed, TAIL) - millis(direct, TAIL)
        return listOf(
            "$concurrency",
            number(direct.rate, 0),
            number(routed.rate, 0),
            number(millis(direct, MEDIAN), DIGITS),
            number(millis(routed, MEDIAN), DIGITS),
            number(addedMedian, DIGITS),
            number(millis(direct, TAIL), DIGITS),
            number(millis(routed, TAIL), DIGITS),
            number(addedTail, DIGITS),
            "${direct.failures + routed.failures}",
        )
    }

    private fun millis(
        result: LoadResult,
        percentile: Double,
    ): Double = result.latency.getValueAtPercentile(percentile) / NANOS_PER_MILLI

    private fun shortRequest(): HttpRequest {
        val headers =
            RequestHeaders
                .builder(HttpMethod.POST, "/v1/chat/completions")
                .contentType(MediaType.JSON)
                .set("authorization", "Bearer $TOKEN")
                .build()
        return HttpRequest.of(headers, HttpData.ofUtf8(BODY))
    }

    private fun awaitReady(router: Router) {
        val client = WebClient.of("http://127.0.0.1:${router.port}")
        while (!client
                .execute(shortRequest())
                .aggregate()
                .join()
                .status()
                .isSuccess
        ) {
            TimeUnit.MILLISECONDS.sleep(READY_POLL_MILLIS)
        }
    }

    private fun settings(): RouterSettings =
        RouterSettings(ProcessSettings(DOMAIN, "127.0.0.1:0"), PlatformSettings("http://127.0.0.1:1"))

    private fun publish(
        objects: InMemoryObjectStore,
        engine: String,
    ) {
        val entry = ConfigurationEntry.NotePublished(note(engine))
        ConfigurationStore(objects).publish(entry, Publisher("measure", acceptedAt = 0, host = "loopback"))
    }

    private fun note(engine: String): ReleaseNote {
        val model =
            ModelVersion(ModelId("slate"), VersionId("1"), price = Price(1.0, 2.0), quality = QualityPrior(0.9))
        val organisation =
            Organisation(
                OrganisationId("roofers"),
                listOf(Hashing.sha256().hashString(TOKEN, Charsets.UTF_8).toString()),
                quality = QualityTarget(0.8),
                limits = OrganisationLimits(concurrency = 100_000, tokensPerMinute = Long.MAX_VALUE / 2),
                models = listOf(AllowedModel(model.model)),
            )
        val endpoint =
            Endpoint(EndpointId("engine"), DOMAIN, engine, listOf(ModelVersionId.parse("slate@1")), slots = 1_000)
        return ReleaseNote(
            NoteId("overhead"),
            "measurement",
            models = ModelChanges(added = listOf(model)),
            organisations = OrganisationChanges(added = listOf(organisation)),
            endpoints = EndpointChanges(added = listOf(endpoint)),
            failureDomains = FailureDomainChanges(added = listOf(FailureDomain(DOMAIN, RegionId("wales")))),
        )
    }

    private companion object {
        const val TOKEN = "measure-token"
        const val TOKENS = 4
        const val LOAD_EVENT_LOOPS = 4
        const val READY_POLL_MILLIS = 10L
        const val BODY = """{"model":"auto","max_tokens":4,"messages":[{"role":"user","content":"Which slate?"}]}"""
        const val MEDIAN = 50.0
        const val TAIL = 99.0
        const val DIGITS = 3
        const val NANOS_PER_MILLI = 1e6
        val CONCURRENCY = listOf(1, 8, 32, 128)
        val WARM_UP_TIME = 2.seconds
        val MEASURED_TIME = 4.seconds
        val DOMAIN = FailureDomainId("west")
        val COLUMNS =
            listOf(
                "in flight",
                "direct /s",
                "routed /s",
                "direct p50 ms",
                "routed p50 ms",
                "added p50 ms",
                "direct p99 ms",
                "routed p99 ms",
                "added p99 ms",
                "failures",
            )
    }
}
