package org.tamaracktrack.daemon.entry;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.link.frame.Connection;

/** An open connection to a target daemon and the attempts in progress on it. Thread-safe. */
final class TargetLink {
    private final TargetId target;
    private final IncarnationId owner;
    private final Connection connection;
    private final Map<AttemptId, RequestRunner> runners;
    private final Set<AttemptId> outstanding = ConcurrentHashMap.newKeySet();

    private TargetLink(
            TargetId target,
            IncarnationId owner,
            Connection connection,
            Map<AttemptId, RequestRunner> runners) {
        this.target = target;
        this.owner = owner;
        this.connection = connection;
        this.runners = runners;
    }

    static TargetLink of(
            TargetId target,
            IncarnationId owner,
            Connection connection,
            Map<AttemptId, RequestRunner> runners) {
        return new TargetLink(target, owner, connection, runners);
    }

    TargetId target() {
        return target;
    }

    IncarnationId owner() {
        return owner;
    }

    boolean isIdle() {
        return outstanding.isEmpty();
    }

    /**
     * Queues an attempt on the connection.
     *
     * @return false if the attempt was certainly not sent
     */
    boolean submit(Message.Submit submit, RequestRunner runner) {
        AttemptId attempt = submit.attempt();
        runners.put(attempt, runner);
        outstanding.add(attempt);
        if (!connection.send(submit)) {
            removeAttempt(attempt);
            return false;
        }
        // The connection may have closed after the attempt was queued, when the runners of its
        // attempts had already been notified. Only the thread that removes the attempt from the set
        // notifies the runner, so that it is notified once.
        if (!connection.isOpen() && outstanding.remove(attempt)) {
            runner.connectionLost(attempt);
        }
        return true;
    }

    void send(Message message) {
        connection.send(message);
    }

    void removeAttempt(AttemptId attempt) {
        outstanding.remove(attempt);
        runners.remove(attempt);
    }

    void close() {
        connection.close();
    }

    void onConnectionClosed() {
        outstanding.forEach(
                attempt -> {
                    RequestRunner runner = runners.get(attempt);
                    if (outstanding.remove(attempt) && runner != null) {
                        runner.connectionLost(attempt);
                    }
                });
    }
}
