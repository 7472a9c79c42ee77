package dev.almondhaven.router.billing

import dev.almondhaven.billing.BatchName
import dev.almondhaven.billing.BillingRecord
import dev.almondhaven.billing.SealedBatch
import dev.almondhaven.decision.membership.Member
import dev.almondhaven.model.RouterId
import kotlinx.serialization.Serializable
import java.util.concurrent.CompletableFuture

/** Asks a peer to hold copies of [batches] until they are released, and to drop those in [released]. */
@Serializable
internal data class HoldCopiesRequest(
    val batches: List<SealedBatch> = emptyList(),
    val released: List<BatchName> = emptyList(),
)

/** Asks a writer to store [batch] and to tell [from] when it has. */
@Serializable
internal data class StoreBatchRequest(
    val from: Member,
    val batch: SealedBatch,
)

/** Says that the platform holds the batches [names]. */
@Serializable
internal data class BatchesStoredNotice(
    val names: List<BatchName>,
)

/** Makes a peer answerable for storing [batches] from now on. */
@Serializable
internal data class HandOverRequest(
    val batches: List<SealedBatch>,
)

/** Says whether a message was taken. */
@Serializable
internal data class BillingAcknowledgement(
    val accepted: Boolean,
)

/** What the billing duty thread is told. */
internal sealed interface BillingMessage {
    data class Ended(
        val record: BillingRecord,
    ) : BillingMessage

    data class Held(
        val message: HoldCopiesRequest,
    ) : BillingMessage

    data class Stored(
        val names: List<BatchName>,
    ) : BillingMessage

    /** [holder] has copies of the batches [names]; null if it didn't take them. */
    data class Copied(
        val names: List<BatchName>,
        val holder: RouterId?,
    ) : BillingMessage

    /** Seal what is open at once. */
    data object Flush : BillingMessage

    /** A router that stops has made this one answerable for [batches]. */
    data class HandedOver(
        val batches: List<SealedBatch>,
    ) : BillingMessage

    /** Make a peer answerable for what isn't stored; [done] tells whether it took everything. */
    class HandOver(
        val done: CompletableFuture<Boolean>,
    ) : BillingMessage
}
