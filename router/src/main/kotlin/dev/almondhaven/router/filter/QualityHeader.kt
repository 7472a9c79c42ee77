package dev.almondhaven.router.filter

/** Answer header that marks an answer whose expected quality is below the organisation's target. */
internal object QualityHeader {
    const val NAME: String = "x-almondhaven-quality"
    const val BELOW_TARGET: String = "below_target"
}
