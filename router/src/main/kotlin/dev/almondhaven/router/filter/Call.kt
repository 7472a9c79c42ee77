package dev.almondhaven.router.filter

import dev.almondhaven.catalogue.ServiceCall
import dev.almondhaven.model.ModelId
import dev.almondhaven.model.ModelVersionId
import dev.almondhaven.model.ServiceId
import kotlinx.serialization.json.JsonObject

/** Which models the `model` field of a request admits. */
public sealed interface ModelSelector {
    /** Any model that the organisation may use. */
    public data object Any : ModelSelector

    /** Any version of [model]. */
    public data class Model(
        public val model: ModelId,
    ) : ModelSelector

    /** Only the version with this [id]. */
    public data class Version(
        public val id: ModelVersionId,
    ) : ModelSelector
}

/** A parsed request. */
public sealed interface Call {
    /** Whether running the call twice has the same effect as running it once. */
    public val idempotent: Boolean

    /**
     * A request to a model.
     *
     * @property path path on the engine, for example `/v1/chat/completions`.
     * @property body the caller's JSON body.
     * @property streamed whether the caller requests the answer as server-sent events.
     */
    public data class Model(
        public val path: String,
        public val selector: ModelSelector,
        public val body: JsonObject,
        public val streamed: Boolean,
    ) : Call {
        override val idempotent: Boolean get() = true
    }

    /** A request to a plain service; [path] is the part after the service name, including the query. */
    public data class Service(
        public val service: ServiceId,
        public val path: String,
        public val declaration: ServiceCall,
    ) : Call {
        override val idempotent: Boolean get() = declaration.idempotent
    }

    /** A request for the list of models that the organisation may use. */
    public data object ModelList : Call {
        override val idempotent: Boolean get() = true
    }
}
