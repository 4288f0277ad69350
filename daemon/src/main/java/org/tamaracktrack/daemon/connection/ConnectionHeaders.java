package org.tamaracktrack.daemon.connection;

import java.util.Locale;
import java.util.Set;

/** Names the hop-by-hop headers and those that frame a body on one connection. */
public final class ConnectionHeaders {
    private static final Set<String> HOP_BY_HOP_NAMES =
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
     * Returns whether a header must not be forwarded.
     *
     * @param name the header's name, in upper or lower case
     * @return true if the header applies to one connection only
     */
    public static boolean contains(String name) {
        return HOP_BY_HOP_NAMES.contains(name.toLowerCase(Locale.ROOT));
    }
}
