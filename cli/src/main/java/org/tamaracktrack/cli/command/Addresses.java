package org.tamaracktrack.cli.command;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/** Parses network addresses. Only IP addresses are accepted, no host names. */
final class Addresses {
    private static final Pattern ADDRESS_PATTERN =
            Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9A-Fa-f:]{2,39}]):(\\d{1,5})");
    private static final int HIGHEST_PORT = 65_535;

    private Addresses() {}

    static InetSocketAddress parse(String name, String text) {
        Matcher matcher = ADDRESS_PATTERN.matcher(text);
        if (!matcher.matches()) {
            throw invalidAddress(name, text);
        }
        int port = Integer.parseInt(matcher.group(2));
        if (port < 1 || port > HIGHEST_PORT) {
            throw invalidAddress(name, text);
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(matcher.group(1)), port);
        } catch (UnknownHostException failure) {
            throw invalidAddress(name, text);
        }
    }

    private static TamaracktrackException invalidAddress(String name, String text) {
        return TamaracktrackException.of(
                ErrorCode.INVALID_SETTINGS,
                name + " is " + text + "; use an IP address and a port, such as 10.0.0.1:8000");
    }
}
