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

/** Says why a request would go where. */
internal class ExplainCommand : CliktCommand(name = "explain") {
    private val organisation by option(help = "Whose request.").required()
    private val taskClass by option(help = "Kind of work, such as drafting, query or tagging.").default("query")
    private val model by option(help = "What the caller names: auto, a model, or model@version.").default("auto")
    private val pinned by option(help = "The version, as model@version, that the request's session runs on.")
    private val key by option(help = "Session or request id; decides its place in a roll-out.").default("example")
    private val promptTokens by option(help = "Length of the prompt.").int().default(DEFAULT_PROMPT_TOKENS)
    private val timeout by option(help = "Time until the deadline, in milliseconds.").long().default(DEFAULT_TIMEOUT)
    private val platform by PlatformOptions()

    override fun help(context: Context): String =
        """
        Says which versions a request may run on, why the others are out, and which plan is chosen.

        The routers' own decision code runs here on the configuration in force. Ratings, quarantines and load are known
        to the routers only: the expected quality shown is the release notes' own.

        Example: almondhaven explain --organisation roofers --task-class drafting --prompt-tokens 20000
        """.trimIndent()

    override fun run() {
        val index = CatalogueIndex.of(platform.catalogue())
        val question =
            ExplainQuestion(
                OrganisationId(organisation),
                TaskClass(taskClass),
                modelNamed(),
                pinned?.let { versionNamed(it) },
                SessionId(key),
                demand(index),
            )
        Explanation.of(index, question, System.currentTimeMillis()).forEach { echo(it) }
    }

    private fun demand(index: CatalogueIndex): Demand {
        val owner =
            index.organisation(OrganisationId(organisation))
                ?: throw UsageError("no organisation '$organisation' in generation ${index.generation}")
        val work = TaskClass(taskClass)
        val outputTokens = TaskClassifier.expectedOutputTokens(work, null)
        return Demand(promptTokens, outputTokens, owner.quality.of(work), timeout, mayEscalate = pinned == null)
    }

    private fun modelNamed(): NamedModel? =
        when {
            model == "auto" -> null
            '@' in model -> NamedModel(versionNamed(model).model, versionNamed(model).version)
            else -> NamedModel(ModelId(model))
        }

    private fun versionNamed(text: String): ModelVersionId =
        ModelVersionId.parseOrNull(text) ?: throw UsageError("expected model@version, got '$text'")

    private companion object {
        const val DEFAULT_PROMPT_TOKENS = 500
        const val DEFAULT_TIMEOUT = 60_000L
    }
}
