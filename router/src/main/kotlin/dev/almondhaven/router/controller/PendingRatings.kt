package dev.almondhaven.router.controller

import dev.almondhaven.decision.choice.ConfidenceBand
import dev.almondhaven.decision.choice.EvidenceSubject
import dev.almondhaven.model.RequestId

/** An answer whose rating may still come. */
internal data class RatedAnswer(
    val subject: EvidenceSubject,
    val confidence: ConfidenceBand?,
    val escalated: Boolean,
)

/**
 * Answers that this router gave and that may be rated yet; bounded, the oldest go first. Taking an answer removes it, so
 * that its rating counts once however often it comes.
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
