package org.tamaracktrack.bench.stack;

/** A process of the bench could not be started, reached or stopped. */
public final class StackException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private StackException(String message, Throwable cause) {
        super(message, cause);
    }

    /**
     * Returns an exception.
     *
     * @param message a sentence for people
     * @return the exception
     */
    public static StackException of(String message) {
        return new StackException(message, null);
    }

    /**
     * Returns an exception with a cause.
     *
     * @param message a sentence for people
     * @param cause the cause
     * @return the exception
     */
    public static StackException of(String message, Throwable cause) {
        return new StackException(message, cause);
    }
}
