package org.tamaracktrack.daemon.entry;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.HostId;
import org.tamaracktrack.core.id.IncarnationId;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.core.id.TargetId;
import org.tamaracktrack.core.log.LogEntry;
import org.tamaracktrack.core.log.LogStream;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.link.frame.Connection;
import org.tamaracktrack.link.frame.ConnectionHandler;
import org.tamaracktrack.link.frame.FrameTransport;

/** A target daemon on a real connection, whose answers are set by the test. */
final class FakeTarget implements ConnectionHandler {
    private static final AtomicLong SEQUENCE = new AtomicLong();

    private final TargetId target;
    private final IncarnationId incarnation;
    private final List<ModelId> residentModels;
    private final InetSocketAddress address;
    private final BlockingQueue<ReceivedSubmit> receivedSubmits = new LinkedBlockingQueue<>();
    private final BlockingQueue<Message> otherMessages = new LinkedBlockingQueue<>();
    private final BlockingQueue<Connection> openedConnections = new LinkedBlockingQueue<>();
    private volatile Behaviour behaviour = (connection, submit) -> {};

    /** Answers an attempt. */
    interface Behaviour {
        void answer(Connection connection, Message.Submit submit);
    }

    /** A submit message with the connection on which it arrived. */
    record ReceivedSubmit(Connection connection, Message.Submit submit) {}

    FakeTarget(FrameTransport transport, String name, List<ModelId> residentModels) {
        this.target = TargetId.of(name);
        this.incarnation = IncarnationId.of("target-" + name + "-" + SEQUENCE.get());
        this.residentModels = residentModels;
        this.address = transport.listen(new InetSocketAddress("127.0.0.1", 0), this);
    }

    FakeTarget setBehaviour(Behaviour newBehaviour) {
        behaviour = newBehaviour;
        return this;
    }

    void announceOwnership(InMemoryLogClient log) {
        log.append(
                LogStream.OWNERSHIP,
                new LogEntry.OwnershipTaken(
                        target,
                        incarnation,
                        HostId.of("host-" + target),
                        DataCentreId.of("quito-1"),
                        "127.0.0.1:" + address.getPort(),
                        0));
    }

    Message.Load load(boolean leaving) {
        return new Message.Load(
                target,
                SEQUENCE.getAndIncrement(),
                leaving,
                0,
                0,
                Map.of(),
                residentModels,
                List.of(),
                List.of());
    }

    ReceivedSubmit takeSubmit() throws InterruptedException {
        return Optional.ofNullable(receivedSubmits.poll(10, TimeUnit.SECONDS)).orElseThrow();
    }

    Optional<ReceivedSubmit> pollSubmit(long millis) throws InterruptedException {
        return Optional.ofNullable(receivedSubmits.poll(millis, TimeUnit.MILLISECONDS));
    }

    Connection takeConnection() throws InterruptedException {
        return Optional.ofNullable(openedConnections.poll(10, TimeUnit.SECONDS)).orElseThrow();
    }

    <T extends Message> T takeMessage(Class<T> type) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (System.nanoTime() < deadline) {
            Message next = otherMessages.poll(10, TimeUnit.SECONDS);
            if (type.isInstance(next)) {
                return type.cast(next);
            }
        }
        throw TamaracktrackException.of(
                ErrorCode.INTERNAL,
                "timed out after 10 s waiting for a message of type " + type.getSimpleName());
    }

    void sendWholeAnswer(Connection connection, Message.Submit submit, String body) {
        sendStarted(connection, submit, "application/json");
        sendChunk(connection, submit, 0, body);
        sendFinished(connection, submit, 1);
    }

    void sendStarted(Connection connection, Message.Submit submit, String type) {
        connection.send(new Message.Started(submit.attempt(), 200, Map.of("content-type", type)));
    }

    void sendChunk(Connection connection, Message.Submit submit, int sequence, String text) {
        connection.send(
                new Message.Chunk(
                        submit.attempt(), sequence, text.getBytes(StandardCharsets.UTF_8)));
    }

    void sendFinished(Connection connection, Message.Submit submit, int chunks) {
        connection.send(new Message.Finished(submit.attempt(), chunks, 3, 5, 1, load(false)));
    }

    void sendRefused(Connection connection, Message.Submit submit, ErrorCode code) {
        connection.send(
                new Message.Refused(submit.attempt(), code, 700, load(code == ErrorCode.LEAVING)));
    }

    @Override
    public void onOpen(Connection connection) {
        connection.send(new Message.Hello(incarnation, "target", Optional.of(target), 0));
        connection.send(new Message.LoadReport(load(false)));
        openedConnections.add(connection);
    }

    @Override
    public void onMessage(Connection connection, Message message) {
        if (message instanceof Message.Submit submit) {
            Behaviour currentBehaviour = behaviour;
            receivedSubmits.add(new ReceivedSubmit(connection, submit));
            currentBehaviour.answer(connection, submit);
        } else if (message instanceof Message.LoadQuery) {
            connection.send(new Message.LoadReport(load(false)));
        } else {
            otherMessages.add(message);
        }
    }

    @Override
    public void onClosed(Connection connection) {}

    @Override
    public void onConnectFailed(TamaracktrackException failure) {}
}
