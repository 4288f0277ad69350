package org.tamaracktrack.link.hosts;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.link.codec.Codecs;
import org.tamaracktrack.link.http.HttpCall;
import org.tamaracktrack.link.http.HttpCallException;
import org.tamaracktrack.link.http.HttpCaller;
import org.tamaracktrack.link.http.HttpResponse;

/**
 * A client of the platform's host list over HTTP, with the protocol described in {@code
 * docs/PLATFORM.md}.
 */
public final class HttpHostListClient implements HostListClient {
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final int OK = 200;
    private static final String LEAVING = "leaving";

    private final HttpCaller http;
    private final InetSocketAddress address;

    private HttpHostListClient(HttpCaller http, InetSocketAddress address) {
        this.http = http;
        this.address = address;
    }

    /**
     * Returns a client.
     *
     * @param http makes the HTTP calls
     * @param address the address of the host list service
     * @return the client
     */
    public static HttpHostListClient of(HttpCaller http, InetSocketAddress address) {
        Objects.requireNonNull(http, "http is null");
        Objects.requireNonNull(address, "address is null");
        return new HttpHostListClient(http, address);
    }

    @Override
    public Map<HostId, HostState> read() {
        try {
            HttpResponse response = http.call(HttpCall.get(address, "/hosts", TIMEOUT_MILLIS));
            if (response.status() != OK) {
                throw unavailable(null);
            }
            return Codecs.decode(Codecs.json(), response.body(), Listing.class).states();
        } catch (HttpCallException failure) {
            throw unavailable(failure);
        }
    }

    private static TamaracktrackException unavailable(HttpCallException cause) {
        return TamaracktrackException.of(
                ErrorCode.HOST_LIST_UNAVAILABLE, "the host list can't be read", cause);
    }

    private record Listing(List<ListedHost> hosts) {
        Map<HostId, HostState> states() {
            return hosts.stream()
                    .collect(
                            Collectors.toMap(
                                    ListedHost::host,
                                    listed ->
                                            LEAVING.equals(listed.state())
                                                    ? HostState.LEAVING
                                                    : HostState.LIVE,
                                    (first, second) -> second));
        }
    }

    private record ListedHost(HostId host, String state) {}
}
