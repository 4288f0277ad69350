package org.tamaracktrack.link.http;

import java.util.Map;

/**
 * Receives a streamed response. Methods are called on an input/output thread, one at a time, and
 * must not block. Exactly one of {@code onEnd} and {@code onFailure} ends the response; only {@code
 * onServerEnd} may follow.
 */
public interface HttpListener {

    /**
     * Handles the status and headers of the response.
     *
     * @param status the HTTP status
     * @param headers the headers by name in lower case
     */
    void onHead(int status, Map<String, String> headers);

    /**
     * Handles a part of the body.
     *
     * @param bytes the part
     */
    void onBytes(byte[] bytes);

    /**
     * Handles the end of the response: the body is complete according to its length or its last
     * chunk.
     */
    void onEnd();

    /**
     * Handles the rejection of the answer; {@code onFailure} with {@code ANSWER_INVALID} follows.
     *
     * @param rejection the reason
     */
    default void onRejected(AnswerRejection rejection) {}

    /**
     * Handles a failure of the call.
     *
     * @param failure the stage at which the call failed
     */
    void onFailure(HttpFailure failure);

    /**
     * Handles the end of the connection by the server, or bytes from it that are no answer, after a
     * call that was not answered.
     */
    default void onServerEnd() {}
}
