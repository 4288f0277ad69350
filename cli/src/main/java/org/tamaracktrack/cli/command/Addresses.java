package org.tamaracktrack.cli.command;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;

/** Reads addresses. Names are refused: processes are reached by IP number. */
final class Addresses {
    private static final Pattern FORM =
            Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9A-Fa-f:]{2,39}]):(\\d{1,5})");
    private static final int HIGHEST_PORT = 65_535;

    private Addresses() {}

    static InetSocketAddress parse(String name, String text) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            throw wrong(name, text);
        }
        int port = Integer.parseInt(matcher.group(2));
        if (port < 1 || port > HIGHEST_PORT) {
            throw wrong(name, text);
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(matcher.group(1)), port);
        } catch (UnknownHostException failure) {
            throw wrong(name, text);
        }
    }

    private static TamaracktrackException wrong(String name, String text) {
        return TamaracktrackException.of(
                ErrorCode.INVALID_SETTINGS,
                name + " is " + text + "; use an IP number and a port, such as 10.0.0.1:8000");
    }
}
