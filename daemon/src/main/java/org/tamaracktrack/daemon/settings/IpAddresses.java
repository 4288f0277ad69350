package org.tamaracktrack.daemon.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Objects;
import java.util.regex.Pattern;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/** Reads and writes addresses as IP number and port; names are never looked up. */
public final class IpAddresses {
    private static final Pattern NUMERIC = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+\\]");
    private static final int HIGHEST_PORT = 65_535;

    private IpAddresses() {}

    /**
     * Reads an address.
     *
     * @param text IP number, colon and port
     * @return the address
     * @throws TamaracktrackException with {@code INVALID_SETTINGS} when it is none
     */
    public static InetSocketAddress parse(String text) {
        Objects.requireNonNull(text, "text is null");
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !NUMERIC.matcher(text.substring(0, colon)).matches()) {
            throw TamaracktrackException.of(ErrorCode.INVALID_SETTINGS, "not an IP:PORT: " + text);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 0 || port > HIGHEST_PORT) {
                throw TamaracktrackException.of(ErrorCode.INVALID_SETTINGS, "no port: " + text);
            }
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
        } catch (NumberFormatException | UnknownHostException failure) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS, "not an IP:PORT: " + text, failure);
        }
    }

    /**
     * Writes an address.
     *
     * @param address the address
     * @return IP number, colon and port
     */
    public static String format(InetSocketAddress address) {
        Objects.requireNonNull(address, "address is null");
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
    }
}
