package dev.almondhaven.router.filter

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.stream.StreamMessage
import dev.almondhaven.model.Refusal

/** One element of a streamed answer. A stream ends with exactly one [Finished] or [Failed]. */
public sealed interface AnswerFrame {
    /**
     * One chunk of generated output.
     *
     * @property sequence position of the chunk in the answer, starting at 1.
     * @property data the engine's JSON chunk, unchanged.
     */
    public data class Token(
        public val sequence: Long,
        public val data: String,
    ) : AnswerFrame

    /** Ends a stream whose answer is complete. */
    public data object Finished : AnswerFrame

    /** Ends a stream whose answer is incomplete, with the error that the caller gets. */
    public data class Failed(
        public val refusal: Refusal,
    ) : AnswerFrame
}

/** The result of handling a request. */
public sealed interface Answer {
    /** A non-streaming answer with its whole body. */
    public data class Complete(
        public val status: HttpStatus,
        public val contentType: MediaType,
        public val body: HttpData,
    ) : Answer

    /** An answer streamed as frames. */
    public class Streamed(
        public val frames: StreamMessage<AnswerFrame>,
    ) : Answer

    /** An error instead of an answer. */
    public data class Refused(
        public val refusal: Refusal,
    ) : Answer
}
