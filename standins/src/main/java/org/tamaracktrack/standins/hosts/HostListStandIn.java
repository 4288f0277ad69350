package org.tamaracktrack.standins.hosts;

import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.tamaracktrack.standins.StandIn;
import org.tamaracktrack.standins.http.Control;
import org.tamaracktrack.standins.http.HttpErrorException;
import org.tamaracktrack.standins.http.HttpExchanges;
import org.tamaracktrack.standins.time.LaggedValue;

/** Emulates the host list service, whose list lags behind the true state. */
public final class HostListStandIn implements StandIn {
    private static final String LIVE = "live";

    private final LaggedValue<Map<String, ListedHost>> hosts = LaggedValue.of(Map.of());
    private long lagMillis;
    private boolean outage;

    private HostListStandIn(long lagMillis) {
        this.lagMillis = lagMillis;
    }

    record ListedHost(String host, String dataCentre, String state) {}

    record HostList(Collection<ListedHost> hosts) {}

    record HostChange(String host, String dataCentre, String state) {}

    /**
     * Returns an empty list.
     *
     * @param lagMillis the age of the list that clients receive, in milliseconds
     * @return the stand-in
     */
    public static HostListStandIn of(long lagMillis) {
        return new HostListStandIn(lagMillis);
    }

    /**
     * Adds a host that is live at all earlier times too.
     *
     * @param host the name of the host
     * @param dataCentre the data centre of the host
     */
    public synchronized void add(String host, String dataCentre) {
        put(Long.MIN_VALUE, new ListedHost(host, dataCentre, LIVE));
    }

    private void put(long nowMillis, ListedHost host) {
        Map<String, ListedHost> changed = new TreeMap<>(hosts.latest());
        changed.put(host.host(), host);
        hosts.set(nowMillis, changed);
    }

    @Override
    public HttpHandler serviceHandler() {
        return Handlers.routing().get("/hosts", this::sendHosts);
    }

    @Override
    public HttpHandler controlHandler() {
        return Handlers.routing()
                .put("/control/host", this::changeHost)
                .put("/control/lag", this::setLag)
                .put("/control/outage", this::setOutage)
                .get("/control/state", this::sendState);
    }

    private void sendHosts(HttpServerExchange exchange) throws IOException {
        HttpExchanges.sendJson(exchange, 200, visibleHosts());
    }

    private synchronized HostList visibleHosts() {
        if (outage) {
            throw HttpErrorException.of(503, "outage");
        }
        return new HostList(hosts.valueAt(System.currentTimeMillis() - lagMillis).values());
    }

    private void sendState(HttpServerExchange exchange) throws IOException {
        HttpExchanges.sendJson(exchange, 200, latestHosts());
    }

    private synchronized HostList latestHosts() {
        return new HostList(hosts.latest().values());
    }

    private void changeHost(HttpServerExchange exchange) throws IOException {
        HostChange change = HttpExchanges.readBody(exchange, HostChange.class);
        synchronized (this) {
            Optional<ListedHost> known = Optional.ofNullable(hosts.latest().get(change.host()));
            String dataCentre =
                    Optional.ofNullable(change.dataCentre())
                            .or(() -> known.map(ListedHost::dataCentre))
                            .orElseThrow(() -> HttpErrorException.of(400, "unknown_host"));
            put(
                    System.currentTimeMillis(),
                    new ListedHost(change.host(), dataCentre, change.state()));
        }
        HttpExchanges.sendJson(exchange, 200, Map.of());
    }

    private void setLag(HttpServerExchange exchange) throws IOException {
        long millis = HttpExchanges.readBody(exchange, Control.Millis.class).millis();
        synchronized (this) {
            lagMillis = millis;
        }
        HttpExchanges.sendJson(exchange, 200, Map.of());
    }

    private void setOutage(HttpServerExchange exchange) throws IOException {
        boolean on = HttpExchanges.readBody(exchange, Control.Switch.class).on();
        synchronized (this) {
            outage = on;
        }
        HttpExchanges.sendJson(exchange, 200, Map.of());
    }
}
