package org.tamaracktrack.core.quarantine;

/** How far the answer of one attempt at a target had come. */
public enum AnswerProgress {
    /** No head was received: the request may only have waited at the target. */
    NONE,
    /** The head was received, and nothing of the body. */
    STARTED,
    /** A piece of the body was received, and no other {@link #ESTABLISHED_MILLIS} later. */
    WRITING,
    /** The target went on for that long after the first piece, or the answer is complete. */
    ESTABLISHED;

    /** Time after the first piece, in milliseconds, after which a further one shows progress. */
    public static final long ESTABLISHED_MILLIS = 300;
}
