package org.tamaracktrack.core.dispatch;

import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/** What the head of a target's answer means for the request. */
public enum AnswerKind {
    /** The target did not run the request. */
    NOT_RUN,
    /** Nothing of the answer may reach the caller; the target may have run the request. */
    UNUSABLE,
    /** A stream of events begins, or goes on. */
    STREAM,
    /** The target's own answer, which is forwarded once it is complete. */
    WHOLE,
    /** The target failed, or can't continue the stream. */
    FAILURE;

    /** By this status a target says that another one was expected at its address. */
    private static final int MISDIRECTED = 421;

    /** Callers take these for a promise that the request was not run and never will be. */
    private static final Set<Integer> PROMISES = Set.of(408, 429, 503);

    private static final int FIRST_FINAL = 200;
    private static final int FIRST_NON_SUCCESS = 300;
    private static final int FIRST_FAILURE = 500;

    /**
     * The head of an answer.
     *
     * @param status the HTTP status
     * @param notRun whether the target states that it did not run the request
     * @param verified whether it carries the target's proof that the answer is its own
     * @param contentType the type of its body; empty if it states none
     */
    public record Head(int status, boolean notRun, boolean verified, Optional<String> contentType) {
        /** Checks the arguments. */
        public Head {
            Objects.requireNonNull(contentType, "contentType is null");
        }

        private boolean isSuccess() {
            return status >= FIRST_FINAL && status < FIRST_NON_SUCCESS;
        }

        private boolean hasType(Optional<String> expected) {
            return mediaType(contentType).equals(mediaType(expected));
        }

        private static Optional<String> mediaType(Optional<String> contentType) {
            return contentType.map(type -> type.split(";")[0].strip().toLowerCase(Locale.ROOT));
        }
    }

    /** The answer that a request expects. */
    public sealed interface Expected {
        /** An answer that is forwarded once it is complete. */
        record Whole() implements Expected {}

        /** A stream from its first event on. */
        record Stream() implements Expected {}

        /**
         * The rest of a stream whose first events were forwarded.
         *
         * @param contentType the type of the stream
         */
        record Continuation(Optional<String> contentType) implements Expected {}
    }

    /**
     * Classifies an answer by its head.
     *
     * @param head the head
     * @param expected the answer that the request expects
     * @return the kind
     */
    public static AnswerKind of(Head head, Expected expected) {
        Objects.requireNonNull(head, "head is null");
        if (head.notRun() || head.status() == MISDIRECTED) {
            return NOT_RUN;
        }
        if (!head.verified() || head.status() < FIRST_FINAL || PROMISES.contains(head.status())) {
            return UNUSABLE;
        }
        if (expected instanceof Expected.Continuation stream) {
            return head.isSuccess() && head.hasType(stream.contentType()) ? STREAM : FAILURE;
        }
        if (head.status() >= FIRST_FAILURE) {
            return FAILURE;
        }
        return expected instanceof Expected.Stream && head.isSuccess() ? STREAM : WHOLE;
    }
}
