package dev.almondhaven.decision.claim

import java.util.Random

/** One shard's object on a platform that loses responses, delays writes, returns stale reads and has outages. */
internal class FaultyShard(
    private val random: Random,
    private val checksVersion: Boolean,
) {
    private class Version(
        val text: String?,
        val number: ShardVersion?,
    )

    sealed interface PutResult {
        data class Written(
            val version: ShardVersion,
        ) : PutResult

        data object Conflict : PutResult

        data object NoAnswer : PutResult
    }

    private val history = arrayListOf(Version(null, null))
    private val delayedWrites = ArrayList<ShardStep.Write>()
    var down = false

    fun read(writer: ShardWriter<*>): Boolean {
        if (down || random.nextInt(20) == 0) return false
        val versionsBehind = if (random.nextInt(8) == 0) random.nextInt(3) else 0
        val version = history[maxOf(0, history.size - 1 - versionsBehind)]
        writer.onRead(version.text, version.number)
        return true
    }

    fun put(write: ShardStep.Write): PutResult {
        if (down) return PutResult.NoAnswer
        return when (random.nextInt(10)) {
            0 -> PutResult.NoAnswer.also { apply(write) }
            1 -> PutResult.NoAnswer.also { delayedWrites += write }
            2 -> PutResult.NoAnswer
            else -> if (apply(write)) PutResult.Written(checkNotNull(history.last().number)) else PutResult.Conflict
        }
    }

    fun applyDelayedWrite() {
        if (delayedWrites.isNotEmpty()) apply(delayedWrites.removeAt(random.nextInt(delayedWrites.size)))
    }

    private fun apply(write: ShardStep.Write): Boolean {
        if (checksVersion && write.expected != history.last().number) return false
        history += Version(write.text, ShardVersion(history.size.toLong()))
        return true
    }
}
