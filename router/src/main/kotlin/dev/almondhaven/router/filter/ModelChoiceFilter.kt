package dev.almondhaven.router.filter

import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.model.Refusal
import dev.almondhaven.model.ResultCode
import dev.almondhaven.router.controller.CatalogueHolder
import java.util.concurrent.CompletableFuture

/** Chooses the cheapest allowed version whose expected quality reaches the organisation's target. */
internal class ModelChoiceFilter(
    private val holder: CatalogueHolder,
) : RequestFilter {
    override fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): CompletableFuture<Answer> {
        val call = exchange.call as? Call.Model ?: return next.handle(exchange)
        val candidates = holder.index.allowedVersions(exchange.organisation.id).filter { covers(exchange, call, it) }
        if (candidates.isEmpty()) {
            val refusal = Refusal.notRun(ResultCode.NO_MODEL_ALLOWED, "no version in service for ${call.selector}")
            return Answer.Refused(refusal).completed()
        }
        val target = exchange.organisation.quality.default
        val adequate = candidates.filter { it.quality.default >= target }
        val chosen = adequate.minByOrNull { it.price.output } ?: candidates.maxBy { it.quality.default }
        return next.handle(exchange.with(chosen))
    }

    private fun covers(
        exchange: Exchange,
        call: Call.Model,
        version: ModelVersion,
    ): Boolean = exchange.pinnedVersion?.let { it == version.id } ?: call.selector.covers(version)

    private fun ModelSelector.covers(version: ModelVersion): Boolean =
        when (this) {
            ModelSelector.Any -> true
            is ModelSelector.Model -> version.model == model
            is ModelSelector.Version -> version.id == id
        }
}
