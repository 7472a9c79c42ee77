package dev.almondhaven.router.billing

import dev.almondhaven.billing.BatchName
import dev.almondhaven.billing.BillingRecord
import dev.almondhaven.billing.SealedBatch
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.model.RouterId
import kotlinx.serialization.Serializable
import java.util.concurrent.CompletableFuture

/** Asks a peer to hold copies of [batches] until they are released, and to drop its copies of [released]. */
@Serializable
internal data class HoldCopiesRequest(
    val batches: List<SealedBatch> = emptyList(),
    val released: List<BatchName> = emptyList(),
)

/** Asks the writer of a failure domain to store [batch], and to notify [from] once it is stored. */
@Serializable
internal data class StoreBatchRequest(
    val from: Member,
    val batch: SealedBatch,
)

/** Notifies a router that the batches with [names] are stored on the platform. */
@Serializable
internal data class BatchesStoredNotice(
    val names: List<BatchName>,
)

/** Transfers the responsibility for storing [batches] to a peer. */
@Serializable
internal data class HandOverRequest(
    val batches: List<SealedBatch>,
)

/** Acknowledges a message; [accepted] is false if the receiver had no room for it. */
@Serializable
internal data class BillingAcknowledgement(
    val accepted: Boolean,
)

/** A message in the mailbox of the [BillingController]. */
internal sealed interface BillingMessage {
    /** Adds the record of a request that has ended. */
    data class RecordAdded(
        val record: BillingRecord,
    ) : BillingMessage

    /** Copies to hold, and copies to drop because a peer released them or this router has stored them. */
    data class CopiesChanged(
        val request: HoldCopiesRequest,
    ) : BillingMessage

    /** The batches with [names] are stored on the platform. */
    data class BatchesStored(
        val names: List<BatchName>,
    ) : BillingMessage

    /** A request to copy the batches with [names] has completed; [holder] is null if the peer didn't accept them. */
    data class CopyCompleted(
        val names: List<BatchName>,
        val holder: RouterId?,
    ) : BillingMessage

    /** Seals the open records immediately, since this router is closing. */
    data object Flush : BillingMessage

    /** A stopping router has transferred the responsibility for [batches] to this one. */
    data class HandOverReceived(
        val batches: List<SealedBatch>,
    ) : BillingMessage

    /** Hands all unstored batches over to a peer; [done] is completed with whether it accepted all of them. */
    class HandOverRequested(
        val done: CompletableFuture<Boolean>,
    ) : BillingMessage
}
