package dev.almondhaven.router.filter

/** Tells callers that the answer isn't expected to reach their organisation's quality target. */
internal object QualityHeader {
    const val NAME: String = "x-almondhaven-quality"
    const val BELOW_TARGET: String = "below_target"
}
