package dev.almondhaven.gateway.peer

/**
 * What counts of two versions are about.
 *
 * @property slowness whether slow answers were counted; otherwise failed ones.
 */
internal data class EvidenceSubject(
    val route: String,
    val slowness: Boolean,
)
