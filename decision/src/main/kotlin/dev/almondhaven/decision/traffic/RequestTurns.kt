package dev.almondhaven.decision.traffic

/** The turns in which this router may send one request each to an endpoint of limited rate. Not thread-safe. */
internal class RequestTurns(
    private var since: Long,
) {
    private var lastTurn = NO_TURN

    /** Begins a new sequence of turns at [now]. */
    fun restart(now: Long) {
        since = now
        lastTurn = NO_TURN
    }

    fun admits(
        share: RateShare,
        now: Long,
    ): Boolean {
        val sinceFirstTurn = now - since - share.firstTurn.inWholeNanoseconds
        if (sinceFirstTurn < 0) return false
        val sinceTurn = sinceFirstTurn % share.turnInterval.inWholeNanoseconds
        return sinceTurn < share.turnLength.inWholeNanoseconds && turnAt(share, now) != lastTurn
    }

    /** Part of the current turn that is left at [now], from 1 at its beginning to 0 at its end. */
    fun partLeft(
        share: RateShare,
        now: Long,
    ): Double {
        val sinceFirstTurn = now - since - share.firstTurn.inWholeNanoseconds
        val sinceTurn = sinceFirstTurn.mod(share.turnInterval.inWholeNanoseconds)
        return (1 - sinceTurn.toDouble() / share.turnLength.inWholeNanoseconds).coerceIn(0.0, 1.0)
    }

    /** Records a request sent at [now], which uses up the current turn. */
    fun recordSent(
        share: RateShare,
        now: Long,
    ) {
        lastTurn = turnAt(share, now)
    }

    private fun turnAt(
        share: RateShare,
        now: Long,
    ): Long = (now - since - share.firstTurn.inWholeNanoseconds).floorDiv(share.turnInterval.inWholeNanoseconds)

    private companion object {
        const val NO_TURN = Long.MIN_VALUE
    }
}
