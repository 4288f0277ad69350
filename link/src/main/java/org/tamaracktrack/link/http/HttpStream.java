package org.tamaracktrack.link.http;

/** A streamed call under way. */
public interface HttpStream {

    /** Stops reading, so that TCP holds the server back. A part under way may still arrive. */
    void pause();

    /** Reads on. */
    void resume();

    /** Closes the connection; the listener hears {@code CANCELLED} unless it has already ended. */
    void cancel();
}
