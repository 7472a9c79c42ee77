package dev.almondhaven.decision.session

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.almondhaven.catalogue.CatalogueIndex
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.VersionState
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.OrganisationId

/** Why a session can't be continued. */
public sealed interface SessionRefusal {
    /** The version, or one of its successors, is withdrawn and names no further successor. */
    public data class Withdrawn(
        public val version: ModelVersionId,
    ) : SessionRefusal

    /** The organisation isn't allowed to use the version that the session would run on. */
    public data class NotAllowed(
        public val version: ModelVersionId,
    ) : SessionRefusal

    /** The catalogue doesn't contain the version; another router may have a newer catalogue. */
    public data class Unknown(
        public val version: ModelVersionId,
    ) : SessionRefusal
}

/** Decides which version a session's next request runs on. */
public object SessionVersionResolver {
    /**
     * Returns [version] itself while it is in service, otherwise the first version in service along its successors. A
     * session leaves a version only when that is withdrawn, and then always.
     */
    public fun resolve(
        index: CatalogueIndex,
        organisation: OrganisationId,
        version: ModelVersionId,
    ): Either<SessionRefusal, ModelVersionId> {
        val resolved = firstInService(index, version).fold({ return it.left() }, { it })
        val allowed = index.mayRun(organisation, resolved.id)
        return if (allowed) resolved.id.right() else SessionRefusal.NotAllowed(resolved.id).left()
    }

    private fun firstInService(
        index: CatalogueIndex,
        start: ModelVersionId,
    ): Either<SessionRefusal, ModelVersion> {
        val visited = HashSet<ModelVersionId>()
        var current = start
        while (visited.add(current)) {
            val version = index.version(current) ?: return SessionRefusal.Unknown(current).left()
            if (version.state != VersionState.WITHDRAWN) return version.right()
            val successor = version.successor ?: return SessionRefusal.Withdrawn(current).left()
            current = ModelVersionId(version.model, successor)
        }
        return SessionRefusal.Withdrawn(current).left()
    }
}
