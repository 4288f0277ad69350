package org.tamaracktrack.daemon.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Objects;
import java.util.regex.Pattern;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/**
 * Parses and formats numeric IP addresses with a port. Host names are rejected and never resolved.
 */
public final class IpAddresses {
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";

    /** Anything else would be looked up as a host name. */
    private static final Pattern NUMERIC =
            Pattern.compile("(" + OCTET + "\\.){3}" + OCTET + "|\\[[0-9a-fA-F:.]+\\]");

    private static final Pattern PORT = Pattern.compile("[0-9]{1,5}");
    private static final int MAXIMUM_PORT = 65_535;

    private IpAddresses() {}

    /**
     * Parses an address.
     *
     * @param text an IPv4 address, or an IPv6 address in brackets, then a colon and a port
     * @return the address
     * @throws TamaracktrackException with {@code INVALID_SETTINGS} if the text is not such an
     *     address
     */
    public static InetSocketAddress parse(String text) {
        Objects.requireNonNull(text, "text is null");
        int colon = text.lastIndexOf(':');
        if (colon < 1
                || !NUMERIC.matcher(text.substring(0, colon)).matches()
                || !PORT.matcher(text.substring(colon + 1)).matches()) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS, "not a numeric IP:PORT address: " + text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port > MAXIMUM_PORT) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS, "port is not between 0 and 65535: " + text);
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
        } catch (UnknownHostException failure) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS, "not a numeric IP:PORT address: " + text, failure);
        }
    }

    /**
     * Formats an address.
     *
     * @param address the address
     * @return the IP address, in brackets for IPv6, then a colon and the port
     */
    public static String format(InetSocketAddress address) {
        Objects.requireNonNull(address, "address is null");
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
    }
}
