package org.tamaracktrack.daemon.target;

import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.daemon.configuration.ConfigurationMessageHandler;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.frame.Connection;
import org.tamaracktrack.link.frame.ConnectionHandler;

/** Handles the connections and messages of entry daemons. */
final class PeerHandler implements ConnectionHandler {
    private final ControlThread control;
    private final Submissions submissions;
    private final ConfigurationMessageHandler answers;
    private final Supplier<Message.Hello> hello;
    private final Supplier<Message.Load> load;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

    private PeerHandler(
            ControlThread control,
            Submissions submissions,
            ConfigurationMessageHandler answers,
            Supplier<Message.Hello> hello,
            Supplier<Message.Load> load) {
        this.control = control;
        this.submissions = submissions;
        this.answers = answers;
        this.hello = hello;
        this.load = load;
    }

    static PeerHandler of(
            ControlThread control,
            Submissions submissions,
            ConfigurationMessageHandler answers,
            Supplier<Message.Hello> hello,
            Supplier<Message.Load> load) {
        Objects.requireNonNull(submissions, "submissions is null");
        return new PeerHandler(control, submissions, answers, hello, load);
    }

    @Override
    public void onOpen(Connection connection) {
        connections.add(connection);
        control.post(
                () -> {
                    connection.send(hello.get());
                    connection.send(new Message.LoadReport(load.get()));
                });
    }

    @Override
    public void onMessage(Connection connection, Message message) {
        if (answers.handle(connection, message)) {
            return;
        }
        if (message instanceof Message.Submit submit) {
            submissions.submit(connection, submit);
        } else if (message instanceof Message.Credit credit) {
            submissions.credit(credit);
        } else if (message instanceof Message.Cancel cancel) {
            submissions.cancel(cancel.attempt());
        } else if (message instanceof Message.LoadQuery) {
            control.post(() -> connection.send(new Message.LoadReport(load.get())));
        }
    }

    @Override
    public void onClosed(Connection connection) {
        connections.remove(connection);
        control.post(() -> submissions.connectionLost(connection));
    }

    @Override
    public void onConnectFailed(TamaracktrackException failure) {
        // This daemon opens no connections.
    }

    void sendToAll(Message message) {
        connections.forEach(connection -> connection.send(message));
    }
}
