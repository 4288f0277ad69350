package org.tamaracktrack.cli.command;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.tamaracktrack.link.http.HttpCaller;
import org.tamaracktrack.link.http.UndertowHttpCaller;
import org.tamaracktrack.link.log.HttpLogClient;
import org.tamaracktrack.link.log.LogClient;

/** Opens connections over the network on first use. */
public final class NetworkConnections implements Connections {
    private Optional<HttpCaller> http = Optional.empty();

    private NetworkConnections() {}

    /**
     * Returns an instance without open connections.
     *
     * @return the instance
     */
    public static NetworkConnections of() {
        return new NetworkConnections();
    }

    @Override
    public LogClient logClient(InetSocketAddress address) {
        return HttpLogClient.of(httpCaller(), address);
    }

    @Override
    public HttpCaller httpCaller() {
        if (http.isEmpty()) {
            http = Optional.of(UndertowHttpCaller.of());
        }
        return http.get();
    }

    @Override
    public void close() {
        http.ifPresent(HttpCaller::close);
    }
}
