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
import org.tamaracktrack.link.codec.ConfigurationDocuments;
import org.tamaracktrack.link.log.LogClient;

/**
 * Keeps the configuration in force up to date from the log, and from peers while the log is
 * unavailable.
 */
public final class FollowedConfiguration implements ConfigurationSource, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(FollowedConfiguration.class);

    private final ControlThread control;
    private final ConfigurationRegister register;
    private final List<Consumer<VersionedConfiguration>> listeners = new ArrayList<>();
    private final List<Consumer<ConfigurationEvent>> eventListeners = new ArrayList<>();
    private LogFollower follower;
    private volatile Optional<VersionedConfiguration> current = Optional.empty();
    private volatile Status status = new Status(-1, false, false, false, 0);

    /**
     * The state of this daemon with respect to the configuration stream.
     *
     * @param version the version in force, -1 for none
     * @param confirmed whether that version was read from the log, and not only offered by a peer
     * @param following whether the latest read of the log succeeded and every record that it held
     *     has been read
     * @param awaitsSnapshot whether records expired before they were read, so that a snapshot is
     *     needed
     * @param nextOffset the offset of the next record to read
     */
    public record Status(
            long version,
            boolean confirmed,
            boolean following,
            boolean awaitsSnapshot,
            long nextOffset) {}

    private FollowedConfiguration(ControlThread control) {
        this.control = control;
        this.register = ConfigurationRegister.of(ConfigurationDocuments::parseJson);
    }

    /**
     * Starts to follow the configuration stream of the log. No version is in force at first.
     *
     * @param log the log to read from
     * @param control the control thread, which owns the state
     * @return the configuration
     */
    public static FollowedConfiguration start(LogClient log, ControlThread control) {
        Objects.requireNonNull(log, "log is null");
        Objects.requireNonNull(control, "control is null");
        FollowedConfiguration followed = new FollowedConfiguration(control);
        followed.follower =
                LogFollower.start(
                        log, LogStream.CONFIGURATION, control, followed.new StreamListener());
        return followed;
    }

    @Override
    public Optional<VersionedConfiguration> current() {
        return current;
    }

    /**
     * Returns the state with respect to the configuration stream. May be called on any thread.
     *
     * @return the status
     */
    public Status status() {
        return status;
    }

    @Override
    public void addListener(Consumer<VersionedConfiguration> listener) {
        Objects.requireNonNull(listener, "listener is null");
        control.post(
                () -> {
                    listeners.add(listener);
                    current.ifPresent(listener);
                });
    }

    /**
     * Adds a listener that is called on the control thread with the outcome of each record, offer
     * and gap.
     *
     * @param listener the listener
     */
    public void addEventListener(Consumer<ConfigurationEvent> listener) {
        Objects.requireNonNull(listener, "listener is null");
        control.post(() -> eventListeners.add(listener));
    }

    @Override
    public void offer(long version, String document) {
        Objects.requireNonNull(document, "document is null");
        control.post(() -> applyEvents(register.handleOffer(version, document)));
    }

    /**
     * Returns a snapshot of the configuration in force, to be appended before older records expire.
     *
     * @return the snapshot; empty while nothing was read from the log
     */
    public Optional<ConfigurationSnapshot> snapshot() {
        return register.snapshot();
    }

    private void applyEvents(List<ConfigurationEvent> events) {
        Optional<ConfigurationInForce> inForce = register.inForce();
        status =
                new Status(
                        inForce.map(ConfigurationInForce::version).orElse(-1L),
                        inForce.filter(ConfigurationInForce::confirmed).isPresent(),
                        register.isFollowing(),
                        register.awaitsSnapshot(),
                        register.nextOffset());
        Optional<VersionedConfiguration> previous = current;
        current = inForce.map(FollowedConfiguration::toVersionedConfiguration);
        events.forEach(this::publishEvent);
        if (!previous.map(VersionedConfiguration::version)
                .equals(current.map(VersionedConfiguration::version))) {
            current.ifPresent(newest -> listeners.forEach(listener -> listener.accept(newest)));
        }
    }

    private void publishEvent(ConfigurationEvent event) {
        ConfigurationEventLog.write(LOG, event);
        eventListeners.forEach(listener -> listener.accept(event));
    }

    private static VersionedConfiguration toVersionedConfiguration(ConfigurationInForce inForce) {
        return new VersionedConfiguration(
                inForce.version(), inForce.document(), inForce.configuration());
    }

    @Override
    public void close() {
        follower.close();
    }

    private final class StreamListener implements LogFollower.Listener {
        @Override
        public void onRecord(LogRecord record) {
            applyEvents(register.handle(record));
        }

        @Override
        public void onUndecodable(long offset) {
            register.handleUnreadable(offset);
        }

        @Override
        public void onGap(long firstOffset) {
            applyEvents(register.handleGap(firstOffset));
        }

        @Override
        public void onCaughtUp(long nextOffset) {
            applyEvents(register.handleEndOfLog(nextOffset));
        }

        @Override
        public void onReachable(boolean reachable) {
            if (!reachable) {
                register.handleLogUnreachable();
            }
            applyEvents(List.of());
        }
    }
}
