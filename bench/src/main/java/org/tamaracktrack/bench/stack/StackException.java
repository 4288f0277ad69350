package org.tamaracktrack.bench.stack;

/** Thrown when a process of the local stack can't be started, reached or stopped. */
public final class StackException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private StackException(String message, Throwable cause) {
        super(message, cause);
    }

    /**
     * Returns an exception without a cause.
     *
     * @param message the detail message
     * @return the exception
     */
    public static StackException of(String message) {
        return new StackException(message, null);
    }

    /**
     * Returns an exception with a cause.
     *
     * @param message the detail message
     * @param cause the cause
     * @return the exception
     */
    public static StackException of(String message, Throwable cause) {
        return new StackException(message, cause);
    }
}
