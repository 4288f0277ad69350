package org.tamaracktrack.daemon.entry;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.daemon.configuration.ConfigurationMessageHandler;
import org.tamaracktrack.daemon.configuration.ConfigurationSource;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.frame.Connection;
import org.tamaracktrack.link.frame.ConnectionHandler;
import org.tamaracktrack.link.frame.FrameTransport;

/** Opens connections to target daemons and dispatches the messages that arrive on them. */
final class TargetPeers {
    private static final Logger LOG = Logger.getLogger(TargetPeers.class);
    private static final long IDLE_CHECK_MILLIS = 500;
    static final String ROLE = "entry";

    private final FrameTransport transport;
    private final ControlThread control;
    private final IncarnationId incarnation;
    private final ConfigurationSource configuration;
    private final ConfigurationMessageHandler answers;
    private final EntryMetrics metrics;
    private TargetDirectory directory;

    private TargetPeers(
            FrameTransport transport,
            ControlThread control,
            IncarnationId incarnation,
            ConfigurationSource configuration,
            EntryMetrics metrics) {
        this.transport = transport;
        this.control = control;
        this.incarnation = incarnation;
        this.configuration = configuration;
        this.answers = ConfigurationMessageHandler.of(configuration);
        this.metrics = metrics;
    }

    static TargetPeers of(
            FrameTransport transport,
            ControlThread control,
            IncarnationId incarnation,
            ConfigurationSource configuration,
            EntryMetrics metrics) {
        return new TargetPeers(transport, control, incarnation, configuration, metrics);
    }

    /** Sets the directory to notify. Must be called before the first connection is opened. */
    void setDirectory(TargetDirectory newDirectory) {
        directory = newDirectory;
    }

    void connect(TargetId target, IncarnationId owner, InetSocketAddress address) {
        transport.connect(address, new Handler(target, owner));
    }

    /** Closes a connection once no attempts are in progress on it. */
    void closeWhenIdle(TargetLink link) {
        if (link.isIdle()) {
            link.close();
        } else {
            control.after(IDLE_CHECK_MILLIS, () -> closeWhenIdle(link));
        }
    }

    private final class Handler implements ConnectionHandler {
        private final TargetId target;
        private final IncarnationId owner;
        private Optional<TargetLink> link = Optional.empty();

        private Handler(TargetId target, IncarnationId owner) {
            this.target = target;
            this.owner = owner;
        }

        @Override
        public void onOpen(Connection connection) {
            connection.send(
                    new Message.Hello(
                            incarnation, ROLE, Optional.empty(), configuration.version()));
        }

        @Override
        public void onMessage(Connection connection, Message message) {
            if (answers.handle(connection, message)) {
                return;
            }
            if (message instanceof Message.Hello hello) {
                onHello(connection, hello);
            } else {
                link.ifPresent(openLink -> onTargetMessage(openLink, message));
            }
        }

        // Another process may have reused the address. Without this check, a later incarnation or
        // the daemon of another target would receive requests that are not meant for it.
        private void onHello(Connection connection, Message.Hello hello) {
            if (!hello.incarnation().equals(owner) || !hello.target().equals(Optional.of(target))) {
                LOG.warnf("event=wrong-peer target=%s found=%s", target, hello.incarnation());
                connection.close();
                return;
            }
            TargetLink opened = TargetLink.of(target, owner, connection, directory.runners());
            link = Optional.of(opened);
            control.post(() -> directory.onOpened(opened));
        }

        private void onTargetMessage(TargetLink openLink, Message message) {
            control.post(() -> directory.onMessageReceived(openLink));
            if (message instanceof Message.Refused refused) {
                control.post(() -> directory.onLoad(openLink, refused.load()));
                forwardToRunner(refused.attempt(), message);
            } else if (message instanceof Message.Started started) {
                forwardToRunner(started.attempt(), message);
            } else if (message instanceof Message.Chunk chunk) {
                forwardToRunner(chunk.attempt(), message);
            } else if (message instanceof Message.Finished finished) {
                control.post(() -> directory.onLoad(openLink, finished.load()));
                forwardToRunner(finished.attempt(), message);
            } else if (message instanceof Message.Failed failed) {
                control.post(() -> directory.onLoad(openLink, failed.load()));
                forwardToRunner(failed.attempt(), message);
            } else if (message instanceof Message.LoadReport report) {
                control.post(() -> directory.onLoad(openLink, report.load()));
            } else if (message instanceof Message.Leaving) {
                control.post(() -> directory.onLeaving(openLink));
            }
        }

        private void forwardToRunner(AttemptId attempt, Message message) {
            Map<AttemptId, RequestRunner> runners = directory.runners();
            Optional.ofNullable(runners.get(attempt))
                    .ifPresentOrElse(
                            runner -> runner.received(message),
                            () -> metrics.countEvent(EntryMetrics.Event.LATE_FRAME));
        }

        @Override
        public void onClosed(Connection connection) {
            link.ifPresent(TargetLink::onConnectionClosed);
            control.post(() -> directory.onClosed(target, owner));
        }

        @Override
        public void onConnectFailed(TamaracktrackException failure) {
            control.post(() -> directory.onClosed(target, owner));
        }
    }
}
