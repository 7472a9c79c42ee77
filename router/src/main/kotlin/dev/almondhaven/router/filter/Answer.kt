package dev.almondhaven.router.filter

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.stream.StreamMessage
import dev.almondhaven.model.Refusal

/** One event of a streamed answer. A stream ends with exactly one [Finished] or [Failed]. */
public sealed interface AnswerFrame {
    /**
     * A chunk of the answer.
     *
     * @property sequence position in the answer, from 1.
     * @property data the engine's JSON chunk.
     */
    public data class Token(
        public val sequence: Long,
        public val data: String,
    ) : AnswerFrame

    /** The answer is complete. */
    public data object Finished : AnswerFrame

    /** The answer stays incomplete. */
    public data class Failed(
        public val refusal: Refusal,
    ) : AnswerFrame
}

/** What a filter gives back for a request. */
public sealed interface Answer {
    /** A complete answer. */
    public data class Complete(
        public val status: HttpStatus,
        public val contentType: MediaType,
        public val body: HttpData,
    ) : Answer

    /** An answer that comes in frames. */
    public class Streamed(
        public val frames: StreamMessage<AnswerFrame>,
    ) : Answer

    /** No answer. */
    public data class Refused(
        public val refusal: Refusal,
    ) : Answer
}
