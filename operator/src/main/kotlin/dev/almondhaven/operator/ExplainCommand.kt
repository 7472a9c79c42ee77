package dev.almondhaven.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import dev.almondhaven.catalogue.CatalogueIndex
import dev.almondhaven.decision.choice.Demand
import dev.almondhaven.decision.choice.TaskClassifier
import dev.almondhaven.model.ModelId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.SessionId
import dev.almondhaven.model.TaskClass

/** Explains to which model version a request would be routed, and why. */
internal class ExplainCommand : CliktCommand(name = "explain") {
    private val organisation by option(help = "Organisation that sends the request.").required()
    private val taskClass by option(help = "Task class, such as drafting, query or tagging.").default("query")
    private val model by option(help = "Model that the request names: auto, a model, or model@version.").default("auto")
    private val pinned by option(help = "Version, as model@version, to which the request's session is pinned.")
    private val key by option(help = "Session or request id, by which a roll-out selects requests.").default("example")
    private val promptTokens by option(help = "Prompt length in tokens.").int().default(DEFAULT_PROMPT_TOKENS)
    private val timeout by option(help = "Milliseconds until the deadline.").long().default(DEFAULT_TIMEOUT_MILLIS)
    private val platform by PlatformOptions()

    override fun help(context: Context): String =
        """
        Shows which model versions a request may use, why the others are excluded, and which plan is chosen.

        Runs the routers' decision code on the configuration in force. Ratings, quarantines and load are known only to
        the routers, so the expected quality shown is the one in the release notes.

        Example: almondhaven explain --organisation roofers --task-class drafting --prompt-tokens 20000
        """.trimIndent()

    override fun run() {
        val index = CatalogueIndex.of(platform.catalogue())
        val query =
            ExplainQuery(
                OrganisationId(organisation),
                TaskClass(taskClass),
                requestedModel(),
                pinned?.let { parseVersion(it) },
                SessionId(key),
                demand(index),
            )
        Explanation.of(index, query, System.currentTimeMillis()).forEach { echo(it) }
    }

    private fun demand(index: CatalogueIndex): Demand {
        val sender =
            index.organisation(OrganisationId(organisation))
                ?: throw UsageError("no organisation '$organisation' in generation ${index.generation}")
        val taskClassId = TaskClass(taskClass)
        val outputTokens = TaskClassifier.expectedOutputTokens(taskClassId, null)
        return Demand(promptTokens, outputTokens, sender.quality.of(taskClassId), timeout, mayEscalate = pinned == null)
    }

    private fun requestedModel(): RequestedModel? =
        when {
            model == "auto" -> null
            '@' in model -> RequestedModel(parseVersion(model).model, parseVersion(model).version)
            else -> RequestedModel(ModelId(model))
        }

    private fun parseVersion(text: String): ModelVersionId =
        ModelVersionId.parseOrNull(text) ?: throw UsageError("expected model@version, got '$text'")

    private companion object {
        const val DEFAULT_PROMPT_TOKENS = 500
        const val DEFAULT_TIMEOUT_MILLIS = 60_000L
    }
}
