package dev.almondhaven.decision.rollout

import com.google.common.hash.Hashing
import dev.almondhaven.catalogue.ModelVersion
import dev.almondhaven.catalogue.RollOut
import dev.almondhaven.model.ModelVersionId

/** Which new sessions start on a version that is being rolled out. Every router finds the same answer. */
public object RollOutAssignment {
    private const val MINUTE_MILLIS = 60_000L
    private val hash = Hashing.murmur3_128()

    /** Share of new sessions at [epochMillis]: that of the stage under way, 1 after the last one, 0 before the first. */
    public fun share(
        rollOut: RollOut,
        epochMillis: Long,
    ): Double {
        var stageEnd = rollOut.startedAt
        if (epochMillis < stageEnd) return 0.0
        for (step in rollOut.steps) {
            stageEnd += step.minutes * MINUTE_MILLIS
            if (epochMillis < stageEnd) return step.share
        }
        return 1.0
    }

    /**
     * Whether the session or request with [key] belongs to the part of the traffic that starts on [version]. The parts
     * only grow from stage to stage, so a session that was in stays in.
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
     * The part of [versions] that the session or request with [key] chooses from: of a version under roll-out and its
     * predecessor, only the one whose turn it is. A version whose predecessor isn't among [versions] stays.
     */
    public fun eligible(
        versions: List<ModelVersion>,
        key: String,
        epochMillis: Long,
    ): List<ModelVersion> {
        if (versions.none { it.rollOut != null }) return versions
        val left = HashSet<ModelVersionId>()
        for (version in versions) {
            val rollOut = version.rollOut ?: continue
            val predecessor = ModelVersionId(version.model, rollOut.predecessor)
            if (versions.none { it.id == predecessor }) continue
            left += if (includes(version, key, epochMillis)) predecessor else version.id
        }
        return versions.filterNot { it.id in left }.ifEmpty { versions }
    }

    /** The place of [key] in the roll-out of [version], evenly spread from 0 until 1. */
    public fun position(
        version: ModelVersionId,
        key: String,
    ): Double {
        val bits = hash.hashUnencodedChars("$version\u0000$key").asLong()
        return (bits ushr 11).toDouble() / (1L shl 53)
    }
}
