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
import org.tamaracktrack.standins.http.Answers;
import org.tamaracktrack.standins.http.BadCallException;
import org.tamaracktrack.standins.http.Control;
import org.tamaracktrack.standins.time.Lagged;

/** The lagging list of hosts. */
public final class HostListStandIn implements StandIn {
    private static final String LIVE = "live";

    private final Lagged<Map<String, ListedHost>> hosts = Lagged.of(Map.of());
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
     * @param lagMillis how old the list that callers see is
     * @return the stand-in
     */
    public static HostListStandIn of(long lagMillis) {
        return new HostListStandIn(lagMillis);
    }

    /**
     * Adds a host that has always been there.
     *
     * @param host its name
     * @param dataCentre its data centre
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
    public HttpHandler service() {
        return Handlers.routing().get("/hosts", this::list);
    }

    @Override
    public HttpHandler control() {
        return Handlers.routing()
                .put("/control/host", this::change)
                .put("/control/lag", this::setLag)
                .put("/control/outage", this::setOutage)
                .get("/control/state", this::state);
    }

    private void list(HttpServerExchange exchange) throws IOException {
        Answers.json(exchange, 200, seen());
    }

    private synchronized HostList seen() {
        if (outage) {
            throw BadCallException.of(503, "outage");
        }
        return new HostList(hosts.at(System.currentTimeMillis() - lagMillis).values());
    }

    private void state(HttpServerExchange exchange) throws IOException {
        Answers.json(exchange, 200, latest());
    }

    private synchronized HostList latest() {
        return new HostList(hosts.latest().values());
    }

    private void change(HttpServerExchange exchange) throws IOException {
        HostChange change = Answers.body(exchange, HostChange.class);
        synchronized (this) {
            Optional<ListedHost> known = Optional.ofNullable(hosts.latest().get(change.host()));
            String dataCentre =
                    Optional.ofNullable(change.dataCentre())
                            .or(() -> known.map(ListedHost::dataCentre))
                            .orElseThrow(() -> BadCallException.of(400, "unknown_host"));
            put(
                    System.currentTimeMillis(),
                    new ListedHost(change.host(), dataCentre, change.state()));
        }
        Answers.json(exchange, 200, Map.of());
    }

    private void setLag(HttpServerExchange exchange) throws IOException {
        long millis = Answers.body(exchange, Control.Millis.class).millis();
        synchronized (this) {
            lagMillis = millis;
        }
        Answers.json(exchange, 200, Map.of());
    }

    private void setOutage(HttpServerExchange exchange) throws IOException {
        boolean on = Answers.body(exchange, Control.Switch.class).on();
        synchronized (this) {
            outage = on;
        }
        Answers.json(exchange, 200, Map.of());
    }
}
