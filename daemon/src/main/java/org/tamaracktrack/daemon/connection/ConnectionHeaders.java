package org.tamaracktrack.daemon.connection;

import java.util.Locale;
import java.util.Set;

/** Headers that concern one connection only, or the framing of a body on it. */
public final class ConnectionHeaders {
    private static final Set<String> NAMES =
            Set.of(
                    "connection",
                    "content-length",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    private ConnectionHeaders() {}

    /**
     * Returns whether a header is not passed on to the next connection.
     *
     * @param name the header's name, in any case
     * @return true when it concerns one connection only
     */
    public static boolean contains(String name) {
        return NAMES.contains(name.toLowerCase(Locale.ROOT));
    }
}
