package dev.almondhaven.engine

import dev.almondhaven.model.ModelVersionId
import kotlinx.serialization.Serializable

/**
 * Body of `PUT /engine/desired-state`: what an engine ought to have loaded. Sent again it changes nothing.
 *
 * @property fencing number of the lease under which the order is given; an engine that honours it refuses lower ones.
 */
@Serializable
public data class EngineOrder(
    public val fencing: Long,
    public val versions: List<ModelVersionId>,
)

/**
 * Answer of `GET /engine/desired-state`.
 *
 * @property desired versions of the last order that the engine took.
 * @property loaded versions that the engine can serve now.
 */
@Serializable
public data class EngineReport(
    public val desired: List<ModelVersionId> = emptyList(),
    public val loaded: List<ModelVersionId> = emptyList(),
)
