package org.tamaracktrack.daemon.gateway;

import io.undertow.util.HeaderMap;
import java.util.Map;
import java.util.Optional;
import org.tamaracktrack.core.fleet.TargetEntry;

/** How callers and targets write in headers what the gateway needs to know. */
public interface CallerDialect {

    /**
     * Reads a caller's headers.
     *
     * @param headers the headers
     * @return what they say; empty when the request does not name its attempt
     */
    Optional<RequestFacts> request(HeaderMap headers);

    /**
     * Returns the headers to send to a target.
     *
     * @param headers the caller's headers
     * @param send what the gateway adds
     * @return the headers, names in any case
     */
    Map<String, String> toTarget(HeaderMap headers, Send send);

    /**
     * Reads the head of a target's answer.
     *
     * @param status the HTTP status
     * @param headers the headers, names in lower case
     * @return what they say
     */
    AnswerFacts answer(int status, Map<String, String> headers);

    /**
     * What the gateway adds to a request that it passes on.
     *
     * @param target the target that is meant; another one at its address must refuse
     * @param leftMillis what is left of the caller's time
     * @param urgency 0 to 9, 0 is the most urgent
     * @param resumeAfter the last event that the caller has
     */
    record Send(TargetEntry target, long leftMillis, int urgency, Optional<String> resumeAfter) {}
}
