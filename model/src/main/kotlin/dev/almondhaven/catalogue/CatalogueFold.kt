package dev.almondhaven.catalogue

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.almondhaven.model.FailureDomainId
import dev.almondhaven.settings.Problem

/**
 * Applies an entry to this catalogue. Returns the catalogue of the next generation, or every problem for which the
 * entry is rejected.
 *
 * This is a pure function, so every process that applies the same entries in order computes the same catalogue.
 */
public fun Catalogue.accept(entry: ConfigurationEntry): Either<List<Problem>, Catalogue> {
    val problems = CatalogueValidator.idProblems("id", entry.id.value)
    return fold(entry).fold(
        { (problems + it).left() },
        { if (problems.isEmpty()) it.right() else problems.left() },
    )
}

private fun Catalogue.fold(entry: ConfigurationEntry): Either<List<Problem>, Catalogue> =
    when (entry) {
        is ConfigurationEntry.NotePublished -> accept(entry.note)
        is ConfigurationEntry.DomainTakenOut -> withDomain(entry.domain) { it.copy(outOfService = true) }
        is ConfigurationEntry.DomainReturned -> withDomain(entry.domain) { it.returned(entry.at) }
    }

private fun Catalogue.withDomain(
    id: FailureDomainId,
    change: (FailureDomain) -> FailureDomain,
): Either<List<Problem>, Catalogue> {
    if (failureDomains.none { it.id == id }) {
        return listOf(Problem("domain", id.value, "one of ${failureDomains.joinToString { it.id.value }}")).left()
    }
    val changed = failureDomains.map { if (it.id == id) change(it) else it }
    return copy(generation = generation.next(), failureDomains = changed).right()
}

private fun FailureDomain.returned(at: Long): FailureDomain =
    if (outOfService) copy(outOfService = false, returnedAt = at) else this

/**
 * Keeps the service state of a domain that a note changes: only [ConfigurationEntry.DomainTakenOut] and
 * [ConfigurationEntry.DomainReturned] may change it.
 */
private fun Catalogue.withPreviousServiceState(changed: FailureDomain): FailureDomain {
    val previous = failureDomains.firstOrNull { it.id == changed.id } ?: return changed
    return changed.copy(outOfService = previous.outOfService, returnedAt = previous.returnedAt)
}

private fun Catalogue.accept(note: ReleaseNote): Either<List<Problem>, Catalogue> {
    val problems = mutableListOf<Problem>()
    val domainChanges = note.failureDomains
    val folded =
        copy(
            generation = generation.next(),
            failureDomains =
                failureDomains.fold(
                    domainChanges.run {
                        Changes("failureDomains", added, changed.map { withPreviousServiceState(it) }, withdrawn)
                    },
                    FailureDomain::id,
                    problems,
                ),
            organisations =
                organisations.fold(
                    note.organisations.run { Changes("organisations", added, changed, withdrawn) },
                    Organisation::id,
                    problems,
                ),
            services =
                services.fold(
                    note.services.run { Changes("services", added, changed, withdrawn) },
                    Service::id,
                    problems,
                ),
            endpoints =
                endpoints.fold(
                    note.endpoints.run { Changes("endpoints", added, changed, withdrawn) },
                    Endpoint::id,
                    problems,
                ),
            models = foldModels(note.models, problems),
        )
    problems += CatalogueValidator.problems(folded)
    return if (problems.isEmpty()) folded.right() else problems.left()
}

private fun Catalogue.foldModels(
    changes: ModelChanges,
    problems: MutableList<Problem>,
): List<ModelVersion> {
    val next = generation.next()
    val added = changes.added.map { it.copy(definedIn = next) }
    val changed = changes.changed.map { it.copy(definedIn = next) }
    val kept = models.fold(Changes("models", added, changed, emptyList()), ModelVersion::id, problems)
    return changes.withdrawn.foldIndexed(kept) { index, versions, withdrawal ->
        val known = versions.any { it.model == withdrawal.model && it.version == withdrawal.version }
        if (!known) {
            val name = "${withdrawal.model}@${withdrawal.version}"
            problems += Problem("models.withdrawn[$index]", name, "a version in the catalogue")
        }
        versions.map { it.withdrawnBy(withdrawal) }
    }
}

private fun ModelVersion.withdrawnBy(withdrawal: Withdrawal): ModelVersion {
    if (model != withdrawal.model || version != withdrawal.version) return this
    return copy(state = VersionState.WITHDRAWN, successor = withdrawal.successor ?: successor)
}

private class Changes<T, I>(
    val path: String,
    val added: List<T>,
    val changed: List<T>,
    val withdrawn: List<I>,
)

private fun <T, I> List<T>.fold(
    changes: Changes<T, I>,
    id: (T) -> I,
    problems: MutableList<Problem>,
): List<T> {
    val byId = LinkedHashMap<I, T>()
    forEach { byId[id(it)] = it }
    changes.withdrawn.forEachIndexed { index, key ->
        val removed = byId.remove(key)
        if (removed == null) problems += Problem("${changes.path}.withdrawn[$index]", "$key", "an id in the catalogue")
    }
    changes.changed.forEachIndexed { index, item ->
        val previous = byId.replace(id(item), item)
        if (previous == null) {
            problems += Problem("${changes.path}.changed[$index].id", "${id(item)}", "an id in the catalogue")
        }
    }
    changes.added.forEachIndexed { index, item ->
        val previous = byId.putIfAbsent(id(item), item)
        if (previous != null) problems += Problem("${changes.path}.added[$index].id", "${id(item)}", "a new id")
    }
    return byId.values.toList()
}
