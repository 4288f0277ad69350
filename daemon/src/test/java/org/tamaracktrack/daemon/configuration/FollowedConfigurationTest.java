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
import org.tamaracktrack.daemon.configuration.ConfigurationSource.Versioned;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.codec.Documents;
import org.tamaracktrack.link.frame.Connection;
import org.tamaracktrack.link.frame.ConnectionHandler;
import org.tamaracktrack.link.frame.XnioFrameTransport;

class FollowedConfigurationTest {
    private static final long LIMIT_SECONDS = 20;

    private final ExpiringLog log = new ExpiringLog();
    private final ControlThread control = ControlThread.of("control");
    private final BlockingQueue<Versioned> versions = new LinkedBlockingQueue<>();
    private final BlockingQueue<ConfigurationEvent> events = new LinkedBlockingQueue<>();
    private FollowedConfiguration first;
    private String document;

    @BeforeEach
    void publishOnce() throws IOException {
        String yaml = Files.readString(Path.of("../docs/sample-configuration.yaml"));
        document = Documents.canonicalJson(Documents.parseYaml(yaml));
        publish("p-0", -1, document);
        first = follow();
        first.listen(versions::add);
        first.listenToEvents(events::add);
    }

    @AfterEach
    void stop() {
        first.close();
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

        Versioned newer = next(versions);

        assertThat(newer.version()).isEqualTo(1);
        assertThat(newer.configuration().moveCost()).isEqualTo(3.0);
    }

    // Records expire while this daemon is cut off from the log. It goes on with what it had, does
    // not judge what it can't, and takes the snapshot that another daemon wrote meanwhile.
    @Test
    void shouldHoldAndThenTakeTheSnapshotWhenRecordsExpiredUnread() {
        assertThat(next(versions).version()).isEqualTo(0);
        log.setOut(true);
        awaitFollowing(false);
        log.setOut(false);
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

    private void awaitFollowing(boolean wanted) {
        BlockingQueue<Boolean> reached = new LinkedBlockingQueue<>();
        control.every(
                5,
                () -> {
                    if (first.status().following() == wanted) {
                        reached.add(true);
                    }
                });
        next(reached);
    }

    // The log is out when a daemon starts. It is not ready until a peer has told it what is in
    // force; a peer that is behind comes first, and its older version gives way to the newer one.
    // Back in touch with the log, it goes on from there.
    @Test
    void shouldHearFromPeersWhenItStartsWhileTheLogIsOut() {
        publish("p-1", 0, changed(1));
        next(versions);
        next(versions);
        log.setOut(true);
        try (XnioFrameTransport transport = XnioFrameTransport.of("secret")) {
            InetSocketAddress behind = listen(transport, new Behind(document));
            InetSocketAddress peer = listen(transport, new Answering(first));
            ControlThread newControl = ControlThread.of("newcomer");
            FollowedConfiguration newcomer = FollowedConfiguration.start(log, newControl);
            assertThat(newcomer.current()).isEmpty();
            BlockingQueue<Versioned> heard = new LinkedBlockingQueue<>();
            newcomer.listen(heard::add);

            PeerAsker.start(newcomer, transport, newControl, List.of(behind));
            assertThat(next(heard).version()).isEqualTo(0);
            PeerAsker.start(newcomer, transport, newControl, List.of(behind, peer));
            assertThat(next(heard).version()).isEqualTo(1);
            assertThat(newcomer.status().confirmed()).isFalse();

            log.setOut(false);
            publish("p-2", 1, changed(2));
            assertThat(next(heard).version()).isEqualTo(2);
            assertThat(newcomer.status().confirmed()).isTrue();
            newcomer.close();
            newControl.close();
        }
    }

    private static InetSocketAddress listen(
            XnioFrameTransport transport, ConnectionHandler handler) {
        return transport.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), handler);
    }

    @Test
    void shouldLetANewcomerStartWhenOldRecordsHaveExpired() {
        ConfigurationSnapshotter snapshotter =
                ConfigurationSnapshotter.start(first, log, control, () -> true);

        long upTo = nextEvent(ConfigurationEvent.SnapshotAgrees.class).upTo();
        log.expireBefore(upTo);
        FollowedConfiguration newcomer = follow();
        BlockingQueue<Versioned> heard = new LinkedBlockingQueue<>();
        newcomer.listen(heard::add);

        assertThat(next(heard).version()).isEqualTo(0);
        newcomer.close();
        snapshotter.close();
    }

    /** A peer that still has version 0. */
    private record Behind(String document) implements ConnectionHandler {
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

    /** A peer as every daemon is one. */
    private record Answering(ConfigurationSource source) implements ConnectionHandler {
        @Override
        public void onOpen(Connection connection) {}

        @Override
        public void onMessage(Connection connection, Message message) {
            ConfigurationAnswers.of(source).handle(connection, message);
        }

        @Override
        public void onClosed(Connection connection) {}

        @Override
        public void onConnectFailed(TamaracktrackException failure) {}
    }
}
