package dev.almondhaven.decision.choice

import dev.almondhaven.model.TaskClass

/**
 * The properties of a request that are known without running a model.
 *
 * @property promptTokens estimated length of the prompt in tokens.
 * @property outputTokensLimit maximum output tokens that the caller asked for; null if it set no limit.
 * @property hasImages whether the prompt contains images.
 */
public data class RequestShape(
    public val promptTokens: Int,
    public val outputTokensLimit: Int?,
    public val hasImages: Boolean,
)

/** Classifies requests that don't declare their task class. */
public object TaskClassifier {
    /** Writing long texts from long documents. */
    public val DRAFTING: TaskClass = TaskClass("drafting")

    /** Short questions and answers. */
    public val QUERY: TaskClass = TaskClass("query")

    /** Captions and labels of a few words. */
    public val TAGGING: TaskClass = TaskClass("tagging")

    private const val LONG_PROMPT_TOKENS = 4_000
    private const val SHORT_OUTPUT_LIMIT_TOKENS = 64
    private const val DRAFTING_OUTPUT_TOKENS = 1_200
    private const val QUERY_OUTPUT_TOKENS = 250
    private const val TAGGING_OUTPUT_TOKENS = 30

    /** The task class of a request with this [shape]. */
    public fun classify(shape: RequestShape): TaskClass =
        when {
            shape.hasImages -> TAGGING
            shape.outputTokensLimit != null && shape.outputTokensLimit <= SHORT_OUTPUT_LIMIT_TOKENS -> TAGGING
            shape.promptTokens >= LONG_PROMPT_TOKENS -> DRAFTING
            else -> QUERY
        }

    /** Expected number of output tokens for [taskClass], at most the caller's [limit]. */
    public fun expectedOutputTokens(
        taskClass: TaskClass,
        limit: Int?,
    ): Int {
        val usual =
            when (taskClass) {
                DRAFTING -> DRAFTING_OUTPUT_TOKENS
                TAGGING -> TAGGING_OUTPUT_TOKENS
                else -> QUERY_OUTPUT_TOKENS
            }
        return minOf(usual, limit ?: usual)
    }
}
