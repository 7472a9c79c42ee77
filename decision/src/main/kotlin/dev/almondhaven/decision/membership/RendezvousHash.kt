package dev.almondhaven.decision.membership

import com.google.common.hash.Hashing

/**
 * Rendezvous (highest random weight) hashing: every router with the same view picks the same members for a key, and a
 * member that joins or leaves moves only its own keys.
 *
 * ```
 * val owner = RendezvousHash.choose("claims/17", view.members, count = 1) { it.id.value }.firstOrNull()
 * ```
 */
public object RendezvousHash {
    private val hash = Hashing.farmHashFingerprint64()

    private class Weighted<T>(
        val candidate: T,
        val weight: ULong,
    )

    /** The [count] candidates with the highest weight for [key], highest first. */
    public fun <T> choose(
        key: String,
        candidates: List<T>,
        count: Int,
        name: (T) -> String,
    ): List<T> {
        require(count >= 0) { "count must not be negative, got $count" }
        return candidates
            .map { Weighted(it, weight(key, name(it)).toULong()) }
            .sortedByDescending { it.weight }
            .take(count)
            .map { it.candidate }
    }

    private fun weight(
        key: String,
        name: String,
    ): Long = hash.hashUnencodedChars("$key\u0000$name").asLong()
}
