package dev.almondhaven.experiments.configuration

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.CatalogueIndex
import dev.almondhaven.catalogue.ConfigurationEntry
import dev.almondhaven.catalogue.accept
import dev.almondhaven.catalogue.releaseNote
import dev.almondhaven.decision.session.SessionKey
import dev.almondhaven.decision.session.SessionPin
import dev.almondhaven.decision.session.SessionSigningKey
import dev.almondhaven.decision.session.SessionTokens
import dev.almondhaven.decision.session.SessionVersionResolver
import dev.almondhaven.experiments.Experiment
import dev.almondhaven.experiments.ExperimentReport
import dev.almondhaven.experiments.ExperimentReport.Companion.number
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.SessionId
import kotlin.time.Duration.Companion.days

/** Measures the CPU time per request of keeping a session on its model version. */
public class SessionExperiment : Experiment {
    override val name: String = "sessions"
    override val about: String = "processor time per session token and per decision on a session's version"

    private val organisation = OrganisationId("roofers")
    private val pin =
        SessionPin(
            SessionKey(organisation, SessionId("3f1c0a4e-8a5d-4b7a-9d2e-0c1b2a3f4d5e")),
            ModelVersionId.parse("slate-large@3"),
            issuedAt = 1_000,
        )
    private val tokens = SessionTokens(listOf(SessionSigningKey("march", ByteArray(32))), "march", 30.days)
    private val token = tokens.issue(pin)

    override fun run(report: ExperimentReport) {
        val unchangedIndex = index(links = 0)
        val successorIndex = index(links = SUCCESSOR_CHAIN_LENGTH)
        val rows =
            listOf(
                row("issue a token") { tokens.issue(pin).length },
                row("verify a token") { tokens.verify(token, organisation, now = 2_000).hashCode() },
                row("keep a version in service") { resolve(unchangedIndex) },
                row("follow $SUCCESSOR_CHAIN_LENGTH successors") { resolve(successorIndex) },
            )
        report.table("Processor time of one thread", listOf("operation", "ns per operation"), rows)
        report.text("A token for a session id of 36 characters has ${token.length} bytes. Best of $ROUNDS rounds.")
    }

    private fun resolve(index: CatalogueIndex): Int =
        SessionVersionResolver.resolve(index, organisation, pin.version).hashCode()

    /** A catalogue in which the pinned version heads a chain of [links] withdrawn versions before one in service. */
    private fun index(links: Int): CatalogueIndex {
        val added =
            releaseNote("added") {
                repeat(links + 1) { model("slate-large", "${it + 3}") { price(input = 1.0, output = 1.0) } }
                organisation("roofers") { allow("slate-large") }
            }
        val withdrawn =
            releaseNote("withdrawn") { repeat(links) { withdraw("slate-large", "${it + 3}", successor = "${it + 4}") } }
        val catalogue =
            listOf(added, withdrawn).fold(Catalogue.EMPTY) { folded, note ->
                checkNotNull(folded.accept(ConfigurationEntry.NotePublished(note)).getOrNull()) {
                    "note ${note.id} was not accepted"
                }
            }
        return CatalogueIndex.of(catalogue)
    }

    private fun row(
        operation: String,
        run: () -> Int,
    ): List<String> {
        var sink = 0
        val best =
            (1..ROUNDS).minOf {
                val start = System.nanoTime()
                repeat(OPERATIONS) { sink += run() }
                (System.nanoTime() - start).toDouble() / OPERATIONS
            }
        // Reading the sum keeps the JIT compiler from removing the operations.
        check(sink != UNLIKELY_SUM) { "the result has to be used" }
        return listOf(operation, number(best, digits = 0))
    }

    private companion object {
        const val ROUNDS = 8
        const val OPERATIONS = 50_000
        const val SUCCESSOR_CHAIN_LENGTH = 8
        const val UNLIKELY_SUM = 1
    }
}
