package org.tamaracktrack.daemon.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.config.ConfigurationEvent;
import org.tamaracktrack.core.config.ConfigurationInForce;
import org.tamaracktrack.core.config.ConfigurationRegister;
import org.tamaracktrack.core.log.LogEntry.ConfigurationSnapshot;
import org.tamaracktrack.core.log.LogRecord;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.daemon.runtime.LogFollower;
import org.tamaracktrack.link.codec.Documents;
import org.tamaracktrack.link.log.LogClient;

/** The configuration in force, followed from the log, and from peers while the log is out. */
public final class FollowedConfiguration implements ConfigurationSource, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(FollowedConfiguration.class);

    private final ControlThread control;
    private final ConfigurationRegister register;
    private final List<Consumer<Versioned>> listeners = new ArrayList<>();
    private final List<Consumer<ConfigurationEvent>> eventListeners = new ArrayList<>();
    private LogFollower follower;
    private volatile Optional<Versioned> current = Optional.empty();
    private volatile Status status = new Status(-1, false, false, false, 0);

    /**
     * How this daemon stands to the configuration stream.
     *
     * @param version the version in force, -1 for none
     * @param confirmed whether it was read from the log, and not only offered by a peer
     * @param following whether every record there was has been read, and the log could be read last
     * @param awaitsSnapshot whether records expired unread, so that a snapshot is needed
     * @param nextOffset the offset of the next record
     */
    public record Status(
            long version,
            boolean confirmed,
            boolean following,
            boolean awaitsSnapshot,
            long nextOffset) {}

    private FollowedConfiguration(ControlThread control) {
        this.control = control;
        this.register = ConfigurationRegister.of(Documents::parseJson);
    }

    /**
     * Starts to follow the configuration.
     *
     * @param log the log
     * @param control the control thread
     * @return the configuration
     */
    public static FollowedConfiguration start(LogClient log, ControlThread control) {
        Objects.requireNonNull(log, "log is null");
        Objects.requireNonNull(control, "control is null");
        FollowedConfiguration followed = new FollowedConfiguration(control);
        followed.follower =
                LogFollower.start(log, LogStream.CONFIGURATION, control, followed.new Reader());
        return followed;
    }

    @Override
    public Optional<Versioned> current() {
        return current;
    }

    /**
     * Returns how this daemon stands to the configuration stream. For any thread.
     *
     * @return the status
     */
    public Status status() {
        return status;
    }

    @Override
    public void listen(Consumer<Versioned> listener) {
        Objects.requireNonNull(listener, "listener is null");
        control.post(
                () -> {
                    listeners.add(listener);
                    current.ifPresent(listener);
                });
    }

    /**
     * Hears of what each record, offer and gap came to, on the control thread.
     *
     * @param listener the listener
     */
    public void listenToEvents(Consumer<ConfigurationEvent> listener) {
        Objects.requireNonNull(listener, "listener is null");
        control.post(() -> eventListeners.add(listener));
    }

    @Override
    public void offer(long version, String document) {
        Objects.requireNonNull(document, "document is null");
        control.post(() -> apply(register.handleOffer(version, document)));
    }

    /**
     * Returns a snapshot of the configuration in force, to be appended before older records expire.
     *
     * @return the snapshot; empty while nothing was read from the log
     */
    public Optional<ConfigurationSnapshot> snapshot() {
        return register.snapshot();
    }

    private void apply(List<ConfigurationEvent> events) {
        Optional<ConfigurationInForce> inForce = register.inForce();
        status =
                new Status(
                        inForce.map(ConfigurationInForce::version).orElse(-1L),
                        inForce.filter(ConfigurationInForce::confirmed).isPresent(),
                        register.isFollowing(),
                        register.awaitsSnapshot(),
                        register.nextOffset());
        Optional<Versioned> before = current;
        current = inForce.map(FollowedConfiguration::versioned);
        events.forEach(this::announce);
        if (!before.map(Versioned::version).equals(current.map(Versioned::version))) {
            current.ifPresent(now -> listeners.forEach(listener -> listener.accept(now)));
        }
    }

    private void announce(ConfigurationEvent event) {
        ConfigurationEventLog.write(LOG, event);
        eventListeners.forEach(listener -> listener.accept(event));
    }

    private static Versioned versioned(ConfigurationInForce inForce) {
        return new Versioned(inForce.version(), inForce.document(), inForce.configuration());
    }

    @Override
    public void close() {
        follower.close();
    }

    private final class Reader implements LogFollower.Listener {
        @Override
        public void onRecord(LogRecord record) {
            apply(register.handle(record));
        }

        @Override
        public void onUndecodable(long offset) {
            register.handleUnreadable(offset);
        }

        @Override
        public void onGap(long firstOffset) {
            apply(register.handleGap(firstOffset));
        }

        @Override
        public void onCaughtUp(long nextOffset) {
            apply(register.handleEndOfLog(nextOffset));
        }

        @Override
        public void onReachable(boolean reachable) {
            if (!reachable) {
                register.handleLogUnreachable();
            }
            apply(List.of());
        }
    }
}
