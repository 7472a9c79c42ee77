package dev.almondhaven.catalogue

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** What happened to one item of the catalogue. */
@Serializable
public enum class ChangeKind(
    /** Prefix of the item in a listing. */
    public val sign: String,
) {
    ADDED("+"),
    CHANGED("~"),
    REMOVED("-"),
}

/**
 * One field that differs.
 *
 * @property path path of the field in the item, for example `price.output`.
 * @property before the value as text; empty when there was none.
 * @property after the value as text; empty when there is none.
 */
@Serializable
public data class FieldChange(
    public val path: String,
    public val before: String,
    public val after: String,
) {
    override fun toString(): String = "$path: $before -> $after"
}

/** One item that differs between two catalogues, for example `~ models[slate@1] price.output: 2.0 -> 3.0`. */
@Serializable
public data class CatalogueChange(
    public val kind: ChangeKind,
    public val item: String,
    public val fields: List<FieldChange> = emptyList(),
) {
    override fun toString(): String = "${kind.sign} $item ${fields.joinToString("; ")}".trim()
}

/** Changes that turn this catalogue into [other], ignoring the generations. */
public fun Catalogue.differences(other: Catalogue): List<CatalogueChange> =
    buildList {
        addAll(compare("failureDomains", failureDomains, other.failureDomains, FailureDomain.serializer()) { it.id })
        addAll(compare("models", models, other.models, ModelVersion.serializer()) { it.id })
        addAll(compare("organisations", organisations, other.organisations, Organisation.serializer()) { it.id })
        addAll(compare("services", services, other.services, Service.serializer()) { it.id })
        addAll(compare("endpoints", endpoints, other.endpoints, Endpoint.serializer()) { it.id })
    }

private val json = Json { encodeDefaults = true }

private fun <T> compare(
    section: String,
    before: List<T>,
    after: List<T>,
    serializer: KSerializer<T>,
    id: (T) -> Any,
): List<CatalogueChange> {
    val previous = before.associateBy(id)
    val next = after.associateBy(id)
    val removed = previous.keys - next.keys
    val removals = removed.map { CatalogueChange(ChangeKind.REMOVED, "$section[$it]") }
    val additionsAndChanges =
        next.mapNotNull { (key, item) ->
            change("$section[$key]", previous[key], item, serializer)
        }
    return removals + additionsAndChanges
}

private fun <T> change(
    name: String,
    before: T?,
    after: T,
    serializer: KSerializer<T>,
): CatalogueChange? {
    if (before == null) return CatalogueChange(ChangeKind.ADDED, name)
    if (before == after) return null
    val old = json.encodeToJsonElement(serializer, before)
    val new = json.encodeToJsonElement(serializer, after)
    return CatalogueChange(ChangeKind.CHANGED, name, fieldChanges("", old, new))
}

private fun fieldChanges(
    path: String,
    before: JsonElement?,
    after: JsonElement?,
): List<FieldChange> {
    if (before == after) return emptyList()
    if (before !is JsonObject || after !is JsonObject) return listOf(FieldChange(path, text(before), text(after)))
    val names = before.keys + after.keys
    return names.flatMap { fieldChanges(if (path.isEmpty()) it else "$path.$it", before[it], after[it]) }
}

private fun text(element: JsonElement?): String =
    when (element) {
        null -> ""
        is JsonPrimitive -> element.content
        else -> element.toString()
    }
