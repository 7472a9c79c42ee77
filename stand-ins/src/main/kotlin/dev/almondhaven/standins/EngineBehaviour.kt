package dev.almondhaven.standins

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A fault that an engine stand-in shows on every request until it is changed. */
public enum class EngineFault {
    NONE,

    /** Answers with status 500. */
    ERROR,

    /** Closes the answer in the middle. */
    HALF_ANSWER,

    /** Sends lines that aren't JSON. */
    GARBAGE,

    /** Accepts the request and never answers. */
    SILENT,

    /** Falls silent in the middle of the answer. */
    SILENT_MIDWAY,
}

/**
 * How an engine stand-in behaves.
 *
 * @property timeToFirstToken delay before the first token.
 * @property interTokenDelay delay between tokens.
 * @property tokens tokens generated when the request sets no `max_tokens`.
 * @property supportsResume whether the engine honours `x-resume-after`; it then answers with `x-resumed-after`.
 */
public data class EngineBehaviour(
    public val timeToFirstToken: Duration = 0.milliseconds,
    public val interTokenDelay: Duration = 0.milliseconds,
    public val tokens: Int = 8,
    public val fault: EngineFault = EngineFault.NONE,
    public val supportsResume: Boolean = true,
)
