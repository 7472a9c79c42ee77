package dev.almondhaven.decision.claim

import java.util.Random

/** One shard's object on a platform that loses answers, delays writes, reads stale versions and has outages. */
internal class FaultyShard(
    private val random: Random,
    private val conditional: Boolean,
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
    private val late = ArrayList<ShardStep.Write>()
    var down = false

    fun read(writer: ShardWriter<*>): Boolean {
        if (down || random.nextInt(20) == 0) return false
        val stale = if (random.nextInt(8) == 0) random.nextInt(3) else 0
        val version = history[maxOf(0, history.size - 1 - stale)]
        writer.onRead(version.text, version.number)
        return true
    }

    fun put(write: ShardStep.Write): PutResult {
        if (down) return PutResult.NoAnswer
        return when (random.nextInt(10)) {
            0 -> PutResult.NoAnswer.also { apply(write) }
            1 -> PutResult.NoAnswer.also { late += write }
            2 -> PutResult.NoAnswer
            else -> if (apply(write)) PutResult.Written(checkNotNull(history.last().number)) else PutResult.Conflict
        }
    }

    fun applyLateWrite() {
        if (late.isNotEmpty()) apply(late.removeAt(random.nextInt(late.size)))
    }

    private fun apply(write: ShardStep.Write): Boolean {
        if (conditional && write.expected != history.last().number) return false
        history += Version(write.text, ShardVersion(history.size.toLong()))
        return true
    }
}
