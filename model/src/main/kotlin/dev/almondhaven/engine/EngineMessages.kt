package dev.almondhaven.engine

import dev.almondhaven.model.ModelVersionId
import kotlinx.serialization.Serializable

/**
 * Body of `PUT /engine/desired-state`: the versions that an engine should load. The request is idempotent.
 *
 * @property fencing fencing token of the lease that covers the order; an engine that supports fencing rejects lower ones.
 */
@Serializable
public data class EngineOrder(
    public val fencing: Long,
    public val versions: List<ModelVersionId>,
)

/**
 * Answer of `GET /engine/desired-state`.
 *
 * @property desired versions of the last order that the engine accepted.
 * @property loaded versions that the engine can serve now.
 */
@Serializable
public data class EngineReport(
    public val desired: List<ModelVersionId> = emptyList(),
    public val loaded: List<ModelVersionId> = emptyList(),
)
