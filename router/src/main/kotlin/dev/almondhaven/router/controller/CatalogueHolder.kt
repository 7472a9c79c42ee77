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
 * The catalogue in force on this router. Its generation only rises, whoever offers what; of two catalogues with one
 * generation the first one taken stays.
 */
public class CatalogueHolder : ConfigurationHolder {
    private val current = AtomicReference(Held(CatalogueIndex.EMPTY, null))

    private class Held(
        val index: CatalogueIndex,
        val since: Long?,
    ) {
        val digest: String by lazy { digestOf(index.catalogue) }
    }

    /** The newest catalogue held. */
    public val index: CatalogueIndex get() = current.get().index

    override val catalogue: Catalogue get() = index.catalogue

    /** Whether any configuration is held. */
    public val configured: Boolean get() = index !== CatalogueIndex.EMPTY

    /** Epoch milliseconds at which the catalogue came in force here; null before the first one. */
    public val inForceSince: Long? get() = current.get().since

    /** Digest of the catalogue, by which an operator tells whether routers hold the same one. */
    public val digest: String get() = current.get().digest

    override fun offer(catalogue: Catalogue): Boolean {
        if (catalogue.generation <= index.generation) {
            checkDivergence(catalogue)
            return false
        }
        val candidate = Held(CatalogueIndex.of(catalogue), System.currentTimeMillis())
        val previous = current.getAndUpdate { if (it.index.generation < catalogue.generation) candidate else it }
        val taken = previous.index.generation < catalogue.generation
        if (taken) {
            LogEvent.CONFIGURATION_IN_FORCE.log(logger) {
                "generation=${catalogue.generation} previous=${previous.index.generation}"
            }
        }
        return taken
    }

    /** Whether [catalogue] is another one than that in force, though its generation is the same. */
    public fun diverges(catalogue: Catalogue): Boolean {
        val held = index.catalogue
        return catalogue.generation == held.generation && catalogue != held
    }

    private fun checkDivergence(catalogue: Catalogue) {
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
