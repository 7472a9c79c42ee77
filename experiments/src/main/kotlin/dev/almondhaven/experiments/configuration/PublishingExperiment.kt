package dev.almondhaven.experiments.configuration

import arrow.core.Either
import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.catalogue.ReleaseNote
import dev.almondhaven.catalogue.accept
import dev.almondhaven.catalogue.releaseNote
import dev.almondhaven.experiments.Experiment
import dev.almondhaven.experiments.ExperimentReport
import dev.almondhaven.experiments.ExperimentReport.Companion.number
import dev.almondhaven.standins.ObjectStoreServer
import dev.almondhaven.standins.StandInServer
import dev.almondhaven.store.Accepted
import dev.almondhaven.store.ConfigurationHead
import dev.almondhaven.store.ConfigurationStore
import dev.almondhaven.store.FaultyObjectStore
import dev.almondhaven.store.HttpObjectStore
import dev.almondhaven.store.InMemoryObjectStore
import dev.almondhaven.store.ObjectStore
import dev.almondhaven.store.ObjectStoreFaults
import dev.almondhaven.store.PublishError
import dev.almondhaven.store.PublishRetryPolicy
import dev.almondhaven.store.Publisher
import kotlinx.serialization.json.Json
import org.HdrHistogram.Histogram

/** Measures platform calls and time per publication, and the bytes of the stored configuration by its size. */
public class PublishingExperiment : Experiment {
    override val name: String = "publishing"
    override val about: String = "platform calls and time per publication, bytes of the configuration by its size"

    override fun run(report: ExperimentReport) {
        report.table("Platform calls per publication", CALL_COLUMNS, FAULTS.map { measureCalls(it) })
        report.text(
            "$PUBLICATIONS publications of small notes for each row, one after the other, seed $SEED, at most " +
                "$ATTEMPTS tries each. 'Not published' and 'unsettled' are what a publisher was told. 'Told wrong' " +
                "counts answers that the configuration contradicts.",
        )
        report.table(
            "Time per publication over HTTP on loopback",
            listOf("p50 ms", "p99 ms", "max ms"),
            listOf(measureLatency()),
        )
        report.table("Size of the configuration", SIZE_COLUMNS, SIZES.map { measureSize(it) })
        report.text(
            "The head holds the snapshot and its newest entry in full. 'First' is the head behind one note that " +
                "adds everything, 'later' the head behind a further small note. The limit is " +
                "${ObjectStore.MAXIMUM_VALUE_BYTES} bytes.",
        )
    }

    private class FaultRow(
        val title: String,
        val faults: ObjectStoreFaults,
    )

    private class ConfigurationSize(
        val title: String,
        val domains: Int,
        val versions: Int,
        val organisations: Int,
        val endpoints: Int,
    )

    private fun entry(note: ReleaseNote) = ConfigurationEntry.NotePublished(note)

    private fun smallNote(id: String): ReleaseNote = releaseNote(id) { failureDomain(id, region = "wales") }

    private fun measureCalls(row: FaultRow): List<String> {
        val inner = InMemoryObjectStore()
        val objects = FaultyObjectStore(inner, SEED, row.faults)
        val store = ConfigurationStore(objects, PublishRetryPolicy.immediate(ATTEMPTS))
        val histogram = Histogram(HISTOGRAM_DIGITS)
        val results =
            List(PUBLICATIONS) { index ->
                val before = objects.calls
                val result = store.publish(entry(smallNote("note-$index")), PUBLISHER)
                histogram.recordValue(objects.calls - before)
                result
            }
        objects.deliverLateWrites()
        return listOf(
            row.title,
            number(histogram.mean),
            "${histogram.getValueAtPercentile(P99)}",
            "${histogram.maxValue}",
            "${results.count { it.isRight() }}",
            "${results.count { it.isLeft() && it.leftOrNull() !is PublishError.Unsettled }}",
            "${results.count { it.leftOrNull() is PublishError.Unsettled }}",
            "${countWrongResults(inner, results)}",
        )
    }

    /** Counts results that contradict the stored configuration; unsettled publications claim nothing. */
    private fun countWrongResults(
        objects: ObjectStore,
        results: List<Either<PublishError, Accepted>>,
    ): Int {
        val head = checkNotNull(ConfigurationStore(objects).head().getOrNull()).head
        val accepted =
            head.catalogue.failureDomains
                .map { it.id.value }
                .toSet()
        return results.withIndex().count { (index, result) ->
            val isAccepted = "note-$index" in accepted
            result.fold({ it !is PublishError.Unsettled && isAccepted }, { !isAccepted })
        }
    }

    private fun measureLatency(): List<String> =
        StandInServer.start { ObjectStoreServer(InMemoryObjectStore()).addTo(it) }.use { server ->
            val store = ConfigurationStore(HttpObjectStore(server.address))
            val histogram = Histogram(HISTOGRAM_DIGITS)
            repeat(PUBLICATIONS) { index ->
                val start = System.nanoTime()
                check(
                    store.publish(entry(smallNote("note-$index")), PUBLISHER).isRight(),
                ) { "note-$index was not accepted" }
                if (index >= WARM_UP) histogram.recordValue(System.nanoTime() - start)
            }
            listOf(histogram.getValueAtPercentile(P50), histogram.getValueAtPercentile(P99), histogram.maxValue)
                .map { number(it / NANOS_PER_MILLISECOND) }
        }

    private fun measureSize(size: ConfigurationSize): List<String> {
        val note = noteOf(size)
        val objects = InMemoryObjectStore()
        val store = ConfigurationStore(objects)
        check(store.publish(entry(note), PUBLISHER).isRight()) { "${size.title} was not accepted" }
        val first = headBytes(objects)
        check(store.publish(entry(smallNote("later")), PUBLISHER).isRight()) { "the later note was not accepted" }
        val catalogue = checkNotNull(store.head().getOrNull()).head.catalogue
        val snapshot = Json.encodeToString(Catalogue.serializer(), catalogue).toByteArray().size
        return listOf(
            size.title,
            "${size.domains}",
            "${size.versions}",
            "${size.organisations}",
            "${size.endpoints}",
            "$snapshot",
            "$first",
            "${headBytes(objects)}",
            number(measureFoldMillis(catalogue)),
        )
    }

    private fun headBytes(objects: ObjectStore): Int =
        checkNotNull(objects.get(ConfigurationStore.HEAD_KEY).getOrNull()).value.toByteArray().size

    /** Median time to decode a head, apply a small note to it and encode it again, as every publication does. */
    private fun measureFoldMillis(catalogue: Catalogue): Double {
        val text = Json.encodeToString(ConfigurationHead.serializer(), ConfigurationHead(catalogue))
        val times = Histogram(HISTOGRAM_DIGITS)
        repeat(FOLDS) { index ->
            val start = System.nanoTime()
            val head = ConfigurationStore.decode(text)
            val folded = checkNotNull(head.catalogue.accept(entry(smallNote("fold-$index"))).getOrNull())
            Json.encodeToString(ConfigurationHead.serializer(), ConfigurationHead(folded))
            if (index >= FOLDS / 2) times.recordValue(System.nanoTime() - start)
        }
        return times.getValueAtPercentile(P50) / NANOS_PER_MILLISECOND
    }

    private fun noteOf(size: ConfigurationSize): ReleaseNote =
        releaseNote("everything") {
            repeat(size.domains) { failureDomain("domain-$it", region = "region-${it % REGIONS}") }
            repeat(size.versions) { index ->
                model("model-$index", "1") {
                    price(input = 1.0 + index, output = 2.0 + index)
                    quality(0.9)
                }
            }
            repeat(size.organisations) { index ->
                organisation("organisation-$index") {
                    tokenDigest(index.toString().padStart(DIGEST_LENGTH, '0'))
                    quality(0.8)
                    repeat(size.versions) { allow("model-$it") }
                }
            }
            repeat(size.endpoints) { index ->
                val address = "10.${index / 250}.${index % 250}.1:8000"
                engine("endpoint-$index", "domain-${index % size.domains}", address, "model-${index % size.versions}@1")
            }
        }

    private companion object {
        const val SEED = 41L
        const val PUBLICATIONS = 500
        const val ATTEMPTS = 8
        const val WARM_UP = 250
        const val FOLDS = 200
        const val HISTOGRAM_DIGITS = 3
        const val P50 = 50.0
        const val P99 = 99.0
        const val NANOS_PER_MILLISECOND = 1_000_000.0
        const val REGIONS = 2
        const val DIGEST_LENGTH = 64
        val PUBLISHER = Publisher("measure", acceptedAt = 1, host = "loopback")
        val CALL_COLUMNS =
            listOf("platform", "mean", "p99", "max", "accepted", "not published", "unsettled", "told wrong")
        val SIZE_COLUMNS =
            listOf(
                "size",
                "domains",
                "versions",
                "organisations",
                "endpoints",
                "snapshot bytes",
                "first head bytes",
                "later head bytes",
                "decode, fold and encode, p50 ms",
            )
        val FAULTS =
            listOf(
                FaultRow("no faults", ObjectStoreFaults()),
                FaultRow("10% of writes lose their answer", ObjectStoreFaults(lostResponses = 0.1)),
                FaultRow("10% of writes late", ObjectStoreFaults(lateWrites = 0.1)),
                FaultRow("20% of reads stale", ObjectStoreFaults(staleReads = 0.2)),
                FaultRow("all of these, 10% not sent", ObjectStoreFaults(0.1, 0.1, 0.1, 0.2)),
            )
        val SIZES =
            listOf(
                ConfigurationSize("today", domains = 4, versions = 4, organisations = 10, endpoints = 12),
                ConfigurationSize(
                    "ten times today's endpoints",
                    domains = 4,
                    versions = 4,
                    organisations = 10,
                    endpoints = 120,
                ),
                ConfigurationSize("two years on", domains = 6, versions = 9, organisations = 20, endpoints = 780),
                ConfigurationSize(
                    "two years on, 200 organisations",
                    domains = 6,
                    versions = 9,
                    organisations = 200,
                    endpoints = 780,
                ),
                ConfigurationSize("twice that", domains = 6, versions = 18, organisations = 200, endpoints = 1_560),
            )
    }
}
