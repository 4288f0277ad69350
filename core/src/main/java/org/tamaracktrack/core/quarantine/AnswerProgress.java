package org.tamaracktrack.core.quarantine;

/** How far the answer of one attempt at a target had come. */
public enum AnswerProgress {
    /** No head was received: the request may only have waited at the target. */
    NONE,
    /** The head was received, and nothing of the body. */
    STARTED,
    /** The first piece of the body was received less than {@link #ESTABLISHED_MILLIS} ago. */
    WRITING,
    /** The target went on after the first piece, or the answer is complete. */
    ESTABLISHED;

    /** Time after the first piece, in milliseconds, after which an answer counts as established. */
    public static final long ESTABLISHED_MILLIS = 300;

    /**
     * Returns the progress of an answer whose body has begun and is not complete.
     *
     * @param millisSinceFirstPiece the time since its first piece was received, in milliseconds
     * @return the progress
     */
    public static AnswerProgress since(long millisSinceFirstPiece) {
        return millisSinceFirstPiece >= ESTABLISHED_MILLIS ? ESTABLISHED : WRITING;
    }
}
