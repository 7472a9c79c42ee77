package dev.almondhaven.decision.session

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.almondhaven.catalogue.CatalogueIndex
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.VersionState
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.OrganisationId

/** Why a session can't go on. */
public sealed interface SessionRefusal {
    /** The version, or a successor of it, is withdrawn and names no further successor. */
    public data class Withdrawn(
        public val version: ModelVersionId,
    ) : SessionRefusal

    /** The organisation may not use the version that the session would run on. */
    public data class NotAllowed(
        public val version: ModelVersionId,
    ) : SessionRefusal

    /** The catalogue doesn't hold the version; another router may hold a newer one. */
    public data class Unknown(
        public val version: ModelVersionId,
    ) : SessionRefusal
}

/** Decides which version a session's next request runs on. */
public object SessionVersionResolver {
    /**
     * The version itself while it is in service, otherwise the first version in service along the successors.
     * Withdrawal wins over the session; a version that is in service is never left.
     */
    public fun resolve(
        index: CatalogueIndex,
        organisation: OrganisationId,
        version: ModelVersionId,
    ): Either<SessionRefusal, ModelVersionId> {
        val found = inService(index, version).fold({ return it.left() }, { it })
        val allowed = index.mayRun(organisation, found.id)
        return if (allowed) found.id.right() else SessionRefusal.NotAllowed(found.id).left()
    }

    private fun inService(
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
