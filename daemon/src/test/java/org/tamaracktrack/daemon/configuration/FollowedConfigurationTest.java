package org.tamaracktrack.daemon.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.config.ConfigurationEvent;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.PublicationId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.daemon.configuration.ConfigurationSource.VersionedConfiguration;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.codec.ConfigurationDocuments;
import org.tamaracktrack.link.frame.Connection;
import org.tamaracktrack.link.frame.ConnectionHandler;
import org.tamaracktrack.link.frame.XnioFrameTransport;

class FollowedConfigurationTest {
    private static final long LIMIT_SECONDS = 20;

    private final ExpiringLog log = new ExpiringLog();
    private final ControlThread control = ControlThread.of("control");
    private final BlockingQueue<VersionedConfiguration> versions = new LinkedBlockingQueue<>();
    private final BlockingQueue<ConfigurationEvent> events = new LinkedBlockingQueue<>();
    private FollowedConfiguration followed;
    private String document;

    @BeforeEach
    void publishOnce() throws IOException {
        String yaml = Files.readString(Path.of("../docs/sample-configuration.yaml"));
        document = ConfigurationDocuments.canonicalJson(ConfigurationDocuments.parseYaml(yaml));
        publish("p-0", -1, document);
        followed = follow();
        followed.addListener(versions::add);
        followed.addEventListener(events::add);
    }

    @AfterEach
    void stop() {
        followed.close();
        control.close();
    }

    private FollowedConfiguration follow() {
        return FollowedConfiguration.start(log, control);
    }

    private void publish(String id, long basedOn, String published) {
        log.append(
                LogStream.CONFIGURATION,
                new LogEntry.Publication(PublicationId.of(id), basedOn, published, "op", ""));
    }

    private String changed(int moveCost) {
        return document.replace("\"moveCost\":0.5", "\"moveCost\":" + moveCost);
    }

    private static <T> T next(BlockingQueue<T> queue) {
        try {
            T value = queue.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
            assertThat(value).isNotNull();
            return value;
        } catch (InterruptedException interrupted) {
            throw new AssertionError(interrupted);
        }
    }

    private <T extends ConfigurationEvent> T nextEvent(Class<T> type) {
        return Stream.generate(() -> next(events))
                .filter(type::isInstance)
                .map(type::cast)
                .findFirst()
                .orElseThrow();
    }

    @Test
    void shouldPutEachAcceptedVersionInForceWhenPublished() {
        assertThat(next(versions).version()).isEqualTo(0);
        publish("p-1", 0, changed(3));

        VersionedConfiguration newer = next(versions);

        assertThat(newer.version()).isEqualTo(1);
        assertThat(newer.configuration().moveCost()).isEqualTo(3.0);
    }

    // Records expire while this daemon can't read the log. It keeps the version that it had,
    // because a publication can't be validated against records that are missing, and then applies
    // the snapshot that another daemon wrote in the meantime.
    @Test
    void shouldKeepTheVersionInForceUntilASnapshotIsReadWhenRecordsExpiredUnread() {
        assertThat(next(versions).version()).isEqualTo(0);
        log.setUnavailable(true);
        awaitFollowing(false);
        log.setUnavailable(false);
        synchronized (log) {
            publish("p-1", 0, changed(1));
            publish("p-2", 1, changed(2));
            log.append(
                    LogStream.CONFIGURATION,
                    new LogEntry.ConfigurationSnapshot(2, 1, changed(1), List.of()));
            log.expireBefore(2);
        }

        nextEvent(ConfigurationEvent.Gap.class);
        nextEvent(ConfigurationEvent.SnapshotTaken.class);

        assertThat(next(versions).version()).isEqualTo(2);
    }

    private void awaitFollowing(boolean expected) {
        BlockingQueue<Boolean> reached = new LinkedBlockingQueue<>();
        control.every(
                5,
                () -> {
                    if (followed.status().following() == expected) {
                        reached.add(true);
                    }
                });
        next(reached);
    }

    // The log is unavailable when a daemon starts, so it has no configuration until a peer offers
    // one. The older version of an outdated peer is applied first and is replaced by the newer
    // version of another peer. Once the log is available again, the daemon follows it.
    @Test
    void shouldFetchTheConfigurationFromPeersWhenStartedWhileTheLogIsUnavailable() {
        publish("p-1", 0, changed(1));
        next(versions);
        next(versions);
        log.setUnavailable(true);
        try (XnioFrameTransport transport = XnioFrameTransport.of("secret")) {
            InetSocketAddress outdatedPeer = listen(transport, new OutdatedPeer(document));
            InetSocketAddress currentPeer = listen(transport, new CurrentPeer(followed));
            ControlThread newControl = ControlThread.of("new-daemon");
            FollowedConfiguration newDaemon = FollowedConfiguration.start(log, newControl);
            assertThat(newDaemon.current()).isEmpty();
            BlockingQueue<VersionedConfiguration> receivedVersions = new LinkedBlockingQueue<>();
            newDaemon.addListener(receivedVersions::add);

            PeerAsker.start(newDaemon, transport, newControl, List.of(outdatedPeer));
            assertThat(next(receivedVersions).version()).isEqualTo(0);
            PeerAsker.start(newDaemon, transport, newControl, List.of(outdatedPeer, currentPeer));
            assertThat(next(receivedVersions).version()).isEqualTo(1);
            assertThat(newDaemon.status().confirmed()).isFalse();

            log.setUnavailable(false);
            publish("p-2", 1, changed(2));
            assertThat(next(receivedVersions).version()).isEqualTo(2);
            assertThat(newDaemon.status().confirmed()).isTrue();
            newDaemon.close();
            newControl.close();
        }
    }

    private static InetSocketAddress listen(
            XnioFrameTransport transport, ConnectionHandler handler) {
        return transport.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), handler);
    }

    @Test
    void shouldReadTheSnapshotWhenANewDaemonStartsAfterOldRecordsExpired() {
        ConfigurationSnapshotter snapshotter =
                ConfigurationSnapshotter.start(followed, log, control, () -> true);

        long upTo = nextEvent(ConfigurationEvent.SnapshotAgrees.class).upTo();
        log.expireBefore(upTo);
        FollowedConfiguration newDaemon = follow();
        BlockingQueue<VersionedConfiguration> receivedVersions = new LinkedBlockingQueue<>();
        newDaemon.addListener(receivedVersions::add);

        assertThat(next(receivedVersions).version()).isEqualTo(0);
        newDaemon.close();
        snapshotter.close();
    }

    /** A peer that still has version 0. */
    private record OutdatedPeer(String document) implements ConnectionHandler {
        @Override
        public void onOpen(Connection connection) {}

        @Override
        public void onMessage(Connection connection, Message message) {
            connection.send(new Message.ConfigurationOffer(0, document));
        }

        @Override
        public void onClosed(Connection connection) {}

        @Override
        public void onConnectFailed(TamaracktrackException failure) {}
    }

    /** A peer that handles configuration messages as every daemon does. */
    private record CurrentPeer(ConfigurationSource source) implements ConnectionHandler {
        @Override
        public void onOpen(Connection connection) {}

        @Override
        public void onMessage(Connection connection, Message message) {
            ConfigurationMessageHandler.of(source).handle(connection, message);
        }

        @Override
        public void onClosed(Connection connection) {}

        @Override
        public void onConnectFailed(TamaracktrackException failure) {}
    }
}
