package dev.almondhaven.router.controller

import dev.almondhaven.decision.choice.ConfidenceBand
import dev.almondhaven.decision.choice.EvidenceSubject
import dev.almondhaven.model.RequestId

/** What a rating of an answer is recorded under. */
internal data class RatedAnswer(
    val subject: EvidenceSubject,
    val confidence: ConfidenceBand?,
    val escalated: Boolean,
)

/**
 * Answers of this router that may still be rated. Beyond [capacity] the oldest are evicted. Taking an answer removes
 * it, so that a rating delivered repeatedly counts only once.
 */
internal class PendingRatings(
    private val capacity: Int,
) {
    private val answers = LinkedHashMap<RequestId, RatedAnswer>()

    fun expect(
        request: RequestId,
        answer: RatedAnswer,
    ) {
        answers[request] = answer
        if (answers.size <= capacity) return
        val oldest = answers.entries.iterator()
        oldest.next()
        oldest.remove()
    }

    fun take(request: RequestId): RatedAnswer? = answers.remove(request)
}
