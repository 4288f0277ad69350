package org.tamaracktrack.core.quarantine;

/** How far the answer of one attempt at a target had come. */
public enum AnswerProgress {
    /** No head was received: the request may only have waited at the target. */
    NONE,
    /** The head was received, and nothing of the body. */
    STARTED,
    /** The body has begun; no piece came {@link #ESTABLISHED_MILLIS} or more after the first. */
    WRITING,
    /** The target went on for that long after the first piece. */
    ESTABLISHED;

    /** Time after the first piece, in milliseconds, after which a further one shows progress. */
    public static final long ESTABLISHED_MILLIS = 300;
}
