package org.tamaracktrack.daemon.target;

import java.util.Objects;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.link.hosts.HostListClient;

/** Polls the platform's host list for whether the host of this process is leaving. */
final class LeavingWatch implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(LeavingWatch.class);
    private static final long PERIOD_MILLIS = 1_000;

    private final HostListClient hosts;
    private final HostId host;
    private final Consumer<Boolean> listener;
    private final ScheduledExecutorService thread =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "host-list");
                        thread.setDaemon(true);
                        return thread;
                    });
    private boolean reachable = true;

    private LeavingWatch(HostListClient hosts, HostId host, Consumer<Boolean> listener) {
        this.hosts = hosts;
        this.host = host;
        this.listener = listener;
    }

    static LeavingWatch start(HostListClient hosts, HostId host, Consumer<Boolean> listener) {
        Objects.requireNonNull(hosts, "hosts is null");
        LeavingWatch watch = new LeavingWatch(hosts, host, listener);
        watch.thread.scheduleWithFixedDelay(
                watch::readHostList, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        return watch;
    }

    // The list lags and has outages, so a missing host or a failed read leaves the last state in
    // force.
    private void readHostList() {
        try {
            HostListClient.HostState state = hosts.read().get(host);
            if (state != null) {
                listener.accept(state == HostListClient.HostState.LEAVING);
            }
            reachable(true);
        } catch (TamaracktrackException failure) {
            reachable(false);
        }
    }

    private void reachable(boolean newReachable) {
        if (reachable != newReachable) {
            reachable = newReachable;
            LOG.infof("event=host-list reachable=%s", newReachable);
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
