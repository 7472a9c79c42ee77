package dev.almondhaven.decision.rollout

import com.google.common.hash.Hashing
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.RollOut
import dev.almondhaven.model.ModelVersionId

/**
 * Assigns new sessions to a version under roll-out or to its predecessor, by hashing. Every router computes the same
 * assignment.
 */
public object RollOutAssignment {
    private const val MINUTE_MILLIS = 60_000L

    /** Bits that a `Double` represents exactly. */
    private const val DOUBLE_PRECISION_BITS = 53
    private val hash = Hashing.murmur3_128()

    /** Share of new sessions at [epochMillis]: that of the current step, 1 after the last step, 0 before the first. */
    public fun share(
        rollOut: RollOut,
        epochMillis: Long,
    ): Double {
        var stepEnd = rollOut.startedAt
        if (epochMillis < stepEnd) return 0.0
        for (step in rollOut.steps) {
            stepEnd += step.minutes * MINUTE_MILLIS
            if (epochMillis < stepEnd) return step.share
        }
        return 1.0
    }

    /**
     * Whether the session or request with [key] is assigned to [version]. The assigned share only grows from step to
     * step, so a session that was assigned to the version stays assigned to it.
     */
    public fun includes(
        version: ModelVersion,
        key: String,
        epochMillis: Long,
    ): Boolean {
        val rollOut = version.rollOut ?: return true
        return position(version.id, key) < share(rollOut, epochMillis)
    }

    /**
     * The versions among [versions] that the session or request with [key] may use. Of a version under roll-out and
     * its predecessor only the assigned one is included. A version whose predecessor isn't among [versions] is always
     * included.
     */
    public fun eligible(
        versions: List<ModelVersion>,
        key: String,
        epochMillis: Long,
    ): List<ModelVersion> {
        if (versions.none { it.rollOut != null }) return versions
        val excluded = HashSet<ModelVersionId>()
        for (version in versions) {
            val rollOut = version.rollOut ?: continue
            val predecessor = ModelVersionId(version.model, rollOut.predecessor)
            if (versions.none { it.id == predecessor }) continue
            excluded += if (includes(version, key, epochMillis)) predecessor else version.id
        }
        return versions.filterNot { it.id in excluded }.ifEmpty { versions }
    }

    /** Hash of [key] for the roll-out of [version], uniformly distributed from 0 (inclusive) to 1 (exclusive). */
    public fun position(
        version: ModelVersionId,
        key: String,
    ): Double {
        val bits = hash.hashUnencodedChars("$version\u0000$key").asLong()
        return (bits ushr (Long.SIZE_BITS - DOUBLE_PRECISION_BITS)).toDouble() / (1L shl DOUBLE_PRECISION_BITS)
    }
}
