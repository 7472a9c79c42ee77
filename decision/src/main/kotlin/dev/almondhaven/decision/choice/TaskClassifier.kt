package dev.almondhaven.decision.choice

import dev.almondhaven.model.TaskClass

/**
 * What can be seen of a request at no cost.
 *
 * @property promptTokens estimated length of the prompt.
 * @property outputTokensLimit most tokens that the caller wants back; null when it doesn't say.
 * @property hasImages whether the prompt holds images.
 */
public data class RequestShape(
    public val promptTokens: Int,
    public val outputTokensLimit: Int?,
    public val hasImages: Boolean,
)

/** The default classifier, for requests that don't declare their task class. */
public object TaskClassifier {
    /** Writing long texts from long documents. */
    public val DRAFTING: TaskClass = TaskClass("drafting")

    /** Short questions and answers. */
    public val QUERY: TaskClass = TaskClass("query")

    /** Captions and labels of a few words. */
    public val TAGGING: TaskClass = TaskClass("tagging")

    private const val LONG_PROMPT_TOKENS = 4_000
    private const val SHORT_OUTPUT_TOKENS = 64
    private const val DRAFTING_OUTPUT_TOKENS = 1_200
    private const val QUERY_OUTPUT_TOKENS = 250
    private const val TAGGING_OUTPUT_TOKENS = 30

    /** The class of a request of this [shape]. */
    public fun classify(shape: RequestShape): TaskClass =
        when {
            shape.hasImages -> TAGGING
            shape.outputTokensLimit != null && shape.outputTokensLimit <= SHORT_OUTPUT_TOKENS -> TAGGING
            shape.promptTokens >= LONG_PROMPT_TOKENS -> DRAFTING
            else -> QUERY
        }

    /** Tokens that an answer of [taskClass] is expected to have, within the caller's [limit]. */
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
