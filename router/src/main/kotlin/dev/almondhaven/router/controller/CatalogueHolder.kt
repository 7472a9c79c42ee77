package dev.almondhaven.router.controller

import dev.almondhaven.catalogue.Catalogue
import dev.almondhaven.catalogue.CatalogueIndex
import dev.almondhaven.decision.distribution.ConfigurationHolder
import dev.almondhaven.model.LogEvent
import dev.almondhaven.peer.PeerProtocol
import io.github.oshai.kotlinlogging.KotlinLogging
import java.security.MessageDigest
import java.util.HexFormat
import java.util.concurrent.atomic.AtomicReference

private val logger = KotlinLogging.logger {}

/**
 * Holds the catalogue in force on this router. Its generation never decreases, whatever the order of offers from
 * different sources; of two catalogues with the same generation, the one accepted first stays in force.
 */
public class CatalogueHolder : ConfigurationHolder {
    private val current = AtomicReference(Entry(CatalogueIndex.EMPTY, null))

    private class Entry(
        val index: CatalogueIndex,
        val since: Long?,
    ) {
        val digest: String by lazy { digestOf(index.catalogue) }
    }

    /** Index of the catalogue in force. */
    public val index: CatalogueIndex get() = current.get().index

    override val catalogue: Catalogue get() = index.catalogue

    /** Whether any catalogue has been accepted yet. */
    public val configured: Boolean get() = index !== CatalogueIndex.EMPTY

    /** Epoch milliseconds at which the catalogue came into force on this router; null before the first one. */
    public val inForceSince: Long? get() = current.get().since

    /** Digest of the catalogue; operators compare it to see whether routers hold the same one. */
    public val digest: String get() = current.get().digest

    override fun offer(catalogue: Catalogue): Boolean {
        if (catalogue.generation <= index.generation) {
            logDivergence(catalogue)
            return false
        }
        val candidate = Entry(CatalogueIndex.of(catalogue), System.currentTimeMillis())
        val previous = current.getAndUpdate { if (it.index.generation < catalogue.generation) candidate else it }
        val accepted = previous.index.generation < catalogue.generation
        if (accepted) {
            LogEvent.CONFIGURATION_IN_FORCE.log(logger) {
                "generation=${catalogue.generation} previous=${previous.index.generation}"
            }
        }
        return accepted
    }

    /** Whether [catalogue] has the same generation as the one in force but different content. */
    public fun diverges(catalogue: Catalogue): Boolean {
        val held = index.catalogue
        return catalogue.generation == held.generation && catalogue != held
    }

    private fun logDivergence(catalogue: Catalogue) {
        if (!diverges(catalogue)) return
        LogEvent.CONFIGURATION_DIVERGENT.log(logger) {
            "generation=${catalogue.generation} held=$digest offered=${digestOf(catalogue)}"
        }
    }

    private companion object {
        const val DIGEST_CHARACTERS = 16

        fun digestOf(catalogue: Catalogue): String {
            val text = PeerProtocol.json.encodeToString(Catalogue.serializer(), catalogue)
            val hash = MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
            return HexFormat.of().formatHex(hash).take(DIGEST_CHARACTERS)
        }
    }
}
