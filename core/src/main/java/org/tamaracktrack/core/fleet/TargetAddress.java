package org.tamaracktrack.core.fleet;

import java.util.Objects;

/**
 * Where a target takes requests.
 *
 * @param ip its IP number
 * @param port its port
 */
public record TargetAddress(String ip, int port) {

    /** Checks the arguments. */
    public TargetAddress {
        Objects.requireNonNull(ip, "ip is null");
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
