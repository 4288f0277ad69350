package org.tamaracktrack.link.http;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;

/**
 * An HTTP call to be made.
 *
 * @param address the IP address and port of the server
 * @param method the HTTP method
 * @param path the path and query
 * @param headers the headers except the length; without a {@code host} header the address is sent
 *     as host
 * @param body the body; empty for none
 * @param limits the time limits
 */
public record HttpCall(
        InetSocketAddress address,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        CallLimits limits) {

    private static final byte[] NO_BODY = {};

    /** Checks the arguments. */
    public HttpCall {
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(body, "body is null");
        Objects.requireNonNull(limits, "limits is null");
        headers = Map.copyOf(headers);
    }

    /**
     * Creates a call with a single time limit.
     *
     * @param address the IP address and port of the server
     * @param method the HTTP method
     * @param path the path and query
     * @param headers the headers except the length
     * @param body the body; empty for none
     * @param timeoutMillis the time limit of the whole call, in milliseconds
     */
    public HttpCall(
            InetSocketAddress address,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long timeoutMillis) {
        this(address, method, path, headers, body, CallLimits.of(timeoutMillis));
    }

    /**
     * Returns the time limit of the whole call.
     *
     * @return the time limit in milliseconds
     */
    public long timeoutMillis() {
        return limits.totalMillis();
    }

    /**
     * Returns a GET call without a body.
     *
     * @param address the IP address and port of the server
     * @param path the path and query
     * @param timeoutMillis the time limit of the whole call, in milliseconds
     * @return the call
     */
    public static HttpCall get(InetSocketAddress address, String path, long timeoutMillis) {
        return new HttpCall(address, "GET", path, Map.of(), NO_BODY, timeoutMillis);
    }

    /**
     * Returns a POST call with a JSON body.
     *
     * @param address the IP address and port of the server
     * @param path the path and query
     * @param body the body
     * @param timeoutMillis the time limit of the whole call, in milliseconds
     * @return the call
     */
    public static HttpCall post(
            InetSocketAddress address, String path, byte[] body, long timeoutMillis) {
        return new HttpCall(
                address,
                "POST",
                path,
                Map.of("Content-Type", "application/json"),
                body,
                timeoutMillis);
    }
}
