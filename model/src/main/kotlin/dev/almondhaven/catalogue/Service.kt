package dev.almondhaven.catalogue

import dev.almondhaven.model.ServiceId
import kotlinx.serialization.Serializable

/**
 * A call of a plain service.
 *
 * @property method HTTP method in upper case.
 * @property path path prefix relative to the service, beginning with `/`.
 * @property idempotent whether running the call twice has the effect of running it once.
 */
@Serializable
public data class ServiceCall(
    public val method: String,
    public val path: String,
    public val idempotent: Boolean,
) {
    /** Whether the call covers [method] on [path]. */
    public fun matches(
        method: String,
        path: String,
    ): Boolean = this.method == method && (path == this.path || path.startsWith(this.path.trimEnd('/') + "/"))
}

/** A plain service that is routed in addition to the model engines. Calls that are not listed are rejected. */
@Serializable
public data class Service(
    public val id: ServiceId,
    public val calls: List<ServiceCall>,
) {
    /** The call for [method] on [path] with the longest matching prefix, or null. */
    public fun callOrNull(
        method: String,
        path: String,
    ): ServiceCall? = calls.filter { it.matches(method, path) }.maxByOrNull { it.path.length }
}
