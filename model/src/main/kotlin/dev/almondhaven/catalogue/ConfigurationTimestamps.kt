package dev.almondhaven.catalogue

/**
 * Fills in the times that the operator left out: [now] (epoch milliseconds) becomes the start of new roll-outs and the
 * time of a domain's return. A roll-out that [catalogue] already contains unchanged keeps its start.
 */
public fun ConfigurationEntry.withTimestamps(
    catalogue: Catalogue,
    now: Long,
): ConfigurationEntry =
    when (this) {
        is ConfigurationEntry.NotePublished -> ConfigurationEntry.NotePublished(note.withTimestamps(catalogue, now))
        is ConfigurationEntry.DomainReturned -> if (at == 0L) copy(at = now) else this
        is ConfigurationEntry.DomainTakenOut -> this
    }

private fun ReleaseNote.withTimestamps(
    catalogue: Catalogue,
    now: Long,
): ReleaseNote {
    val added = models.added.map { it.withTimestamps(null, now) }
    val changed = models.changed.map { version -> version.withTimestamps(catalogue.rollOutOf(version), now) }
    return copy(models = models.copy(added = added, changed = changed))
}

private fun Catalogue.rollOutOf(version: ModelVersion): RollOut? = models.firstOrNull { it.id == version.id }?.rollOut

private fun ModelVersion.withTimestamps(
    running: RollOut?,
    now: Long,
): ModelVersion {
    val planned = rollOut ?: return this
    if (planned.startedAt != 0L) return this
    val isUnchanged = running != null && running.copy(startedAt = 0) == planned
    return copy(rollOut = planned.copy(startedAt = if (isUnchanged) running.startedAt else now))
}
