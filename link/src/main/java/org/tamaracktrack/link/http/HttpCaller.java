package org.tamaracktrack.link.http;

/** Makes HTTP calls. Safe for use by several threads. Connections are kept and used again. */
public interface HttpCaller extends AutoCloseable {

    /**
     * Makes a call and waits for the whole answer. Not for an input/output thread.
     *
     * @param call the call
     * @return the answer, whatever its status
     * @throws HttpCallException when the call fails, with how far it got
     */
    HttpAnswer call(HttpCall call);

    /**
     * Makes a call and streams the answer.
     *
     * @param call the call
     * @param listener hears of the answer
     * @return the call under way
     */
    HttpStream stream(HttpCall call, HttpListener listener);

    /** Closes every connection and stops the threads. */
    @Override
    void close();
}
