package org.tamaracktrack.daemon.gateway;

import io.undertow.util.HeaderMap;
import java.util.Map;
import java.util.Optional;
import org.tamaracktrack.core.fleet.TargetEntry;
import org.tamaracktrack.core.id.ClientAccountId;

/** Maps between the headers of callers and targets and the data that the gateway uses. */
public interface HeaderProtocol {

    /**
     * Reads a caller's headers.
     *
     * @param headers the headers
     * @return the metadata; empty when the request does not name its attempt
     */
    Optional<RequestMetadata> parseRequest(HeaderMap headers);

    /**
     * Returns the headers to send to a target.
     *
     * @param headers the caller's headers
     * @param context what the gateway adds
     * @return the headers, with names in any case
     */
    Map<String, String> toTargetHeaders(HeaderMap headers, ForwardingContext context);

    /**
     * Reads the head of a target's response.
     *
     * @param status the HTTP status
     * @param headers the headers, with names in lower case
     * @return the metadata
     */
    ResponseMetadata parseResponse(int status, Map<String, String> headers);

    /**
     * What the gateway adds to a request that it forwards.
     *
     * @param target the intended target; another one at its address must refuse the request
     * @param remainingMillis the caller's remaining time
     * @param urgency 0 to 9, where 0 is the most urgent
     * @param lastEventId the last event that the caller has received
     * @param account the client account of the caller's key; empty without one
     * @param keysRequired whether the configuration has client accounts
     */
    record ForwardingContext(
            TargetEntry target,
            long remainingMillis,
            int urgency,
            Optional<String> lastEventId,
            Optional<ClientAccountId> account,
            boolean keysRequired) {}
}
