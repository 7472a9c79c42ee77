package dev.almondhaven.decision.traffic

/** Answers and failures of a service's old version and of its canary since a roll-out began. */
public data class CanaryCounts(
    public val oldAnswers: Long = 0,
    public val oldFailures: Long = 0,
    public val canaryAnswers: Long = 0,
    public val canaryFailures: Long = 0,
) {
    init {
        require(oldFailures in 0..oldAnswers) { "oldFailures must be from 0 to $oldAnswers, got $oldFailures" }
        require(canaryFailures in 0..canaryAnswers) {
            "canaryFailures must be from 0 to $canaryAnswers, got $canaryFailures"
        }
    }

    public operator fun plus(other: CanaryCounts): CanaryCounts =
        CanaryCounts(
            oldAnswers + other.oldAnswers,
            oldFailures + other.oldFailures,
            canaryAnswers + other.canaryAnswers,
            canaryFailures + other.canaryFailures,
        )

    /** These counts and one more answer. */
    public fun withAnswer(
        isCanary: Boolean,
        failed: Boolean,
    ): CanaryCounts {
        val failures = if (failed) 1 else 0
        return this + if (isCanary) CanaryCounts(0, 0, 1, failures.toLong()) else CanaryCounts(1, failures.toLong())
    }

    override fun toString(): String = "old=$oldFailures/$oldAnswers new=$canaryFailures/$canaryAnswers"
}
