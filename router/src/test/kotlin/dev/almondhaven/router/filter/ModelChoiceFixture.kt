package dev.almondhaven.router.filter

import com.linecorp.armeria.common.CommonPools
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.stream.StreamMessage
import dev.almondhaven.catalogue.AllowedModel
import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.Endpoint
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.Organisation
import dev.almondhaven.catalogue.Price
import dev.almondhaven.catalogue.QualityPrior
import dev.almondhaven.catalogue.QualityTarget
import dev.almondhaven.decision.choice.ExplorationBudget
import dev.almondhaven.decision.choice.ExplorationLimits
import dev.almondhaven.decision.rollout.QuarantineSet
import dev.almondhaven.decision.rollout.TrialLimits
import dev.almondhaven.model.EndpointId
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.model.Generation
import dev.almondhaven.model.ModelId
import dev.almondhaven.model.NanoClock
import dev.almondhaven.model.OrganisationId
import dev.almondhaven.model.RequestId
import dev.almondhaven.model.RouterId
import dev.almondhaven.model.VersionId
import dev.almondhaven.router.controller.CatalogueHolder
import dev.almondhaven.router.controller.ChoiceController
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import org.apache.commons.rng.simple.RandomSource
import java.time.InstantSource
import java.util.concurrent.CompletableFuture

/** Runs the model choice against a fake engine, with a cheap and a strong model and one organisation. */
internal class ModelChoiceFixture(
    target: QualityTarget = QualityTarget(0.93),
) {
    val small = version("small", 0.5, 0.86)
    val large = version("large", 9.0, 0.97)
    val organisation =
        Organisation(
            OrganisationId("roofers"),
            emptyList(),
            quality = target,
            models = listOf(AllowedModel(small.model), AllowedModel(large.model)),
        )
    val holder = CatalogueHolder().also { it.offer(catalogue(1)) }

    var quarantines = QuarantineSet.EMPTY
    val policy = VersionPolicy(holder) { quarantines }

    /** Exchanges passed on for dispatch, in order, including those that the policy then refuses. */
    val forwarded = mutableListOf<Exchange>()

    private val controller = ChoiceController(RouterId("r"), holder, { TrialLimits() })
    private val load = VersionLoad(holder) { 1 }
    private val steps = StepRunner(controller, load, NanoClock { 0 })
    private val exploration =
        ExplorationBudget(ExplorationLimits(requestShare = 0.0), RandomSource.XO_RO_SHI_RO_128_PP.create(1))
    private val planner =
        RequestPlanner(policy, controller, exploration, load, NanoClock { 0 }, InstantSource.system())
    private val filter = ModelChoiceFilter(planner, steps, CascadeRunner(steps, NanoClock { 0 }))

    fun catalogue(
        generation: Long,
        models: List<ModelVersion> = listOf(small, large),
    ): Catalogue =
        Catalogue(
            Generation(generation),
            models = models,
            organisations = listOf(organisation),
            endpoints =
                listOf(
                    Endpoint(EndpointId("e"), FailureDomainId("west"), "127.0.0.1:1", listOf(small.id, large.id)),
                ),
        )

    fun exchange(
        streamed: Boolean = false,
        selector: ModelSelector = ModelSelector.Any,
    ): Exchange {
        val body = Json.parseToJsonElement("""{"messages":[]}""") as JsonObject
        return Exchange(
            RequestId("q"),
            RequestHeaders.of(HttpMethod.POST, "/v1/chat/completions"),
            HttpData.empty(),
            arrivedAt = 0,
            deadline = 60_000_000_000,
            eventLoop = CommonPools.workerGroup().next(),
        ).with(organisation).with(Call.Model("/v1/chat/completions", selector, body, streamed))
    }

    /** Runs [exchange] against an engine that answers with [answer]. */
    fun run(
        exchange: Exchange,
        answer: (Exchange) -> Answer,
    ): Answer =
        filter
            .handle(exchange) { step ->
                forwarded += step
                val refusal = policy.dispatchRefusal(step)
                if (refusal == null) {
                    step.journal.recordDispatch()
                    step.journal.recordServed(step.version?.id, EndpointId("e"))
                    step.journal.recordUsage(Usage(10, 5))
                }
                CompletableFuture.completedFuture(refusal?.let { Answer.Refused(it) } ?: answer(step))
            }.join()

    private fun version(
        name: String,
        price: Double,
        quality: Double,
    ): ModelVersion =
        ModelVersion(
            ModelId(name),
            VersionId("1"),
            price = Price(price / 3, price),
            quality = QualityPrior(quality, weight = 500.0),
            definedIn = Generation(1),
        )

    companion object {
        /** A non-streaming answer with [text] as a single token of [logProbability]. */
        fun complete(
            text: String,
            logProbability: Double,
        ): Answer = Answer.Complete(HttpStatus.OK, MediaType.JSON, HttpData.ofUtf8(chunk(text, logProbability)))

        /** A streamed answer of one chunk, with [text] as a single token of [logProbability]. */
        fun streamed(
            text: String,
            logProbability: Double,
        ): Answer =
            Answer.Streamed(
                StreamMessage.of(AnswerFrame.Token(1, chunk(text, logProbability)), AnswerFrame.Finished),
            )

        private fun chunk(
            text: String,
            logProbability: Double,
        ): String =
            """{"choices":[{"message":{"content":"$text"},"finish_reason":"stop",""" +
                """"logprobs":{"content":[{"token":"$text","logprob":$logProbability}]}}]}"""
    }
}
