package org.tamaracktrack.cli.command;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.tamaracktrack.link.http.HttpCaller;
import org.tamaracktrack.link.http.UndertowHttpCaller;
import org.tamaracktrack.link.log.HttpLogClient;
import org.tamaracktrack.link.log.LogClient;

/** Opens connections over the network when they are first asked for. */
public final class NetworkLinks implements Links {
    private Optional<HttpCaller> http = Optional.empty();

    private NetworkLinks() {}

    /**
     * Returns links of which none is open yet.
     *
     * @return the links
     */
    public static NetworkLinks of() {
        return new NetworkLinks();
    }

    @Override
    public LogClient log(InetSocketAddress address) {
        return HttpLogClient.of(http(), address);
    }

    @Override
    public HttpCaller http() {
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
