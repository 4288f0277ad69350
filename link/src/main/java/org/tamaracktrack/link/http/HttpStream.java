package org.tamaracktrack.link.http;

/** A call in progress whose response is streamed. */
public interface HttpStream {

    /**
     * Stops reading, so that TCP flow control slows the server down. The listener may still receive
     * a part that is being read.
     */
    void pause();

    /** Resumes reading. */
    void resume();

    /** Closes the connection. The call fails with {@code CANCELLED} unless it has already ended. */
    void cancel();

    /**
     * Cancels a call that the server has not answered, and tells the listener when the server has
     * ended the connection as well.
     */
    default void abandon() {
        cancel();
    }
}
