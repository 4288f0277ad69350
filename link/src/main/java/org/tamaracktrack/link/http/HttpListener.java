package org.tamaracktrack.link.http;

import java.util.Map;

/**
 * Hears of a streamed answer. Called by an input/output thread, one call at a time, so it must not
 * block. Ends with exactly one of {@code onEnd} and {@code onFailure}.
 */
public interface HttpListener {

    /**
     * The head of the answer.
     *
     * @param status the HTTP status
     * @param headers the headers, names in lower case
     */
    void onHead(int status, Map<String, String> headers);

    /**
     * A part of the body.
     *
     * @param bytes the part
     */
    void onBytes(byte[] bytes);

    /** The body is whole, as its length or last chunk shows. */
    void onEnd();

    /**
     * The call failed.
     *
     * @param failure how far it got
     */
    void onFailure(HttpFailure failure);
}
