package org.tamaracktrack.daemon.target;

import java.net.InetSocketAddress;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/** Parses endpoints of the form IP:PORT. */
final class EndpointParser {
    private EndpointParser() {}

    static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    text.substring(0, Math.max(0, colon)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException notAnAddress) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_CONFIGURATION,
                    "endpoint is not an IP address and port: " + text,
                    notAnAddress);
        }
    }
}
