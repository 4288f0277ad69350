package org.tamaracktrack.daemon.entry;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.tamaracktrack.core.id.AttemptId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.link.frame.Connection;

/** An open connection to a target daemon and the attempts that are under way on it. */
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

    boolean idle() {
        return outstanding.isEmpty();
    }

    /** Queues an attempt; false means that it was certainly not sent. */
    boolean submit(Message.Submit submit, RequestRunner runner) {
        AttemptId attempt = submit.attempt();
        runners.put(attempt, runner);
        outstanding.add(attempt);
        if (!connection.send(submit)) {
            over(attempt);
            return false;
        }
        // The connection may have closed between the queueing and here, after its attempts were
        // told; whoever takes the attempt out tells it, so that it is told once.
        if (!connection.isOpen() && outstanding.remove(attempt)) {
            runner.connectionLost(attempt);
        }
        return true;
    }

    void send(Message message) {
        connection.send(message);
    }

    void over(AttemptId attempt) {
        outstanding.remove(attempt);
        runners.remove(attempt);
    }

    void close() {
        connection.close();
    }

    void closed() {
        outstanding.forEach(
                attempt -> {
                    RequestRunner runner = runners.get(attempt);
                    if (outstanding.remove(attempt) && runner != null) {
                        runner.connectionLost(attempt);
                    }
                });
    }
}
