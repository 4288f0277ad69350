package org.tamaracktrack.core.fleet;

import java.util.Objects;

/**
 * Holds the network address at which a target accepts requests.
 *
 * @param ip its IP address
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
