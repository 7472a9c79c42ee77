package dev.almondhaven.decision.billing

import dev.almondhaven.billing.BatchName
import dev.almondhaven.billing.BillingObject
import dev.almondhaven.billing.BillingRecord
import dev.almondhaven.model.RequestId

/**
 * What the billing objects of the platform add up to, whatever was stored more than once.
 *
 * @property records one record for each request, in order of time.
 * @property duplicateBatches batches found in more than one object; harmless.
 * @property duplicateRequests requests with the same record in several batches; harmless.
 * @property conflictingRequests requests with unlike records; the first one counts, and somebody has to look.
 */
public data class BillingStatement(
    public val records: List<BillingRecord>,
    public val duplicateBatches: Int,
    public val duplicateRequests: Int,
    public val conflictingRequests: List<RequestId>,
) {
    public companion object {
        /** The statement of [objects]. */
        public fun of(objects: Sequence<BillingObject>): BillingStatement {
            val batches = HashSet<BatchName>()
            val byRequest = LinkedHashMap<RequestId, BillingRecord>()
            val conflicts = LinkedHashSet<RequestId>()
            var duplicateBatches = 0
            var duplicateRequests = 0
            objects.flatMap { it.batches }.forEach { batch ->
                if (!batches.add(batch.name)) {
                    duplicateBatches++
                    return@forEach
                }
                batch.records.forEach { record ->
                    val first = byRequest.putIfAbsent(record.request, record)
                    if (first == record) duplicateRequests++
                    if (first != null && first != record) conflicts += record.request
                }
            }
            val ordered = byRequest.values.sortedWith(compareBy({ it.endedAt }, { it.request.value }))
            return BillingStatement(ordered, duplicateBatches, duplicateRequests, conflicts.toList())
        }
    }
}
