package org.tamaracktrack.link.http;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;

/**
 * A call to make.
 *
 * @param address the server, IP number and port
 * @param method the HTTP method
 * @param path path and query
 * @param headers headers besides the length; a {@code host} among them replaces the address
 * @param body the body; empty for none
 * @param limits how long its parts may take
 */
public record HttpCall(
        InetSocketAddress address,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        CallLimits limits) {

    private static final byte[] NOTHING = {};

    /** Checks the arguments. */
    public HttpCall {
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(body, "body is null");
        Objects.requireNonNull(limits, "limits is null");
        headers = Map.copyOf(headers);
    }

    /**
     * Makes a call with one limit for all of it.
     *
     * @param address the server, IP number and port
     * @param method the HTTP method
     * @param path path and query
     * @param headers headers besides length and host
     * @param body the body; empty for none
     * @param timeoutMillis how long all of it may take
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
     * Returns how long all of the call may take.
     *
     * @return the time in milliseconds
     */
    public long timeoutMillis() {
        return limits.totalMillis();
    }

    /**
     * Returns a call without a body.
     *
     * @param address the server
     * @param path path and query
     * @param timeoutMillis how long all of it may take
     * @return the call
     */
    public static HttpCall get(InetSocketAddress address, String path, long timeoutMillis) {
        return new HttpCall(address, "GET", path, Map.of(), NOTHING, timeoutMillis);
    }

    /**
     * Returns a call with a JSON body.
     *
     * @param address the server
     * @param path path and query
     * @param body the body
     * @param timeoutMillis how long all of it may take
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
