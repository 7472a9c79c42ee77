package dev.almondhaven.standins

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Fault that an engine stand-in injects into every request, until its behaviour is changed. */
public enum class EngineFault {
    NONE,

    /** Responds with status 500. */
    ERROR,

    /** Ends the response after half of its body. */
    HALF_ANSWER,

    /** Streams events whose data isn't JSON. Has no effect on a non-streaming response. */
    GARBAGE,

    /** Accepts the request and never responds. */
    SILENT,

    /** Stops sending after half of the stream and leaves it open. Has no effect on a non-streaming response. */
    SILENT_MIDWAY,
}

/**
 * Timing, length and faults of an engine stand-in's responses.
 *
 * @property timeToFirstToken delay before the first token.
 * @property interTokenDelay delay between tokens.
 * @property tokens number of tokens generated when the request sets no `max_tokens`.
 * @property supportsResume whether the engine honours `x-resume-after`: it then continues the stream after that event
 * and confirms this in the response header `x-resumed-after`.
 */
public data class EngineBehaviour(
    public val timeToFirstToken: Duration = 0.milliseconds,
    public val interTokenDelay: Duration = 0.milliseconds,
    public val tokens: Int = 8,
    public val fault: EngineFault = EngineFault.NONE,
    public val supportsResume: Boolean = true,
)
