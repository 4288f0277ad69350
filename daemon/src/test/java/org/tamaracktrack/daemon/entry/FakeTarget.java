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

/** A target daemon at the other end of a real connection; the test decides what it answers. */
final class FakeTarget implements ConnectionHandler {
    private static final AtomicLong SEQUENCE = new AtomicLong();

    private final TargetId target;
    private final IncarnationId incarnation;
    private final List<ModelId> resident;
    private final InetSocketAddress address;
    private final BlockingQueue<Arrived> submits = new LinkedBlockingQueue<>();
    private final BlockingQueue<Message> others = new LinkedBlockingQueue<>();
    private final BlockingQueue<Connection> opened = new LinkedBlockingQueue<>();
    private volatile Behaviour behaviour = (connection, submit) -> {};

    /** What a target does with an attempt. */
    interface Behaviour {
        void answer(Connection connection, Message.Submit submit);
    }

    /** An attempt as it arrived. */
    record Arrived(Connection connection, Message.Submit submit) {}

    FakeTarget(FrameTransport transport, String name, List<ModelId> resident) {
        this.target = TargetId.of(name);
        this.incarnation = IncarnationId.of("target-" + name + "-" + SEQUENCE.get());
        this.resident = resident;
        this.address = transport.listen(new InetSocketAddress("127.0.0.1", 0), this);
    }

    FakeTarget behave(Behaviour newBehaviour) {
        behaviour = newBehaviour;
        return this;
    }

    void own(MemoryLog log) {
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
                resident,
                List.of(),
                List.of());
    }

    Arrived takeSubmit() throws InterruptedException {
        return Optional.ofNullable(submits.poll(10, TimeUnit.SECONDS)).orElseThrow();
    }

    Optional<Arrived> pollSubmit(long millis) throws InterruptedException {
        return Optional.ofNullable(submits.poll(millis, TimeUnit.MILLISECONDS));
    }

    Connection takeOpened() throws InterruptedException {
        return Optional.ofNullable(opened.poll(10, TimeUnit.SECONDS)).orElseThrow();
    }

    <T extends Message> T takeOther(Class<T> type) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (System.nanoTime() < deadline) {
            Message next = others.poll(10, TimeUnit.SECONDS);
            if (type.isInstance(next)) {
                return type.cast(next);
            }
        }
        throw TamaracktrackException.of(ErrorCode.INTERNAL, "no " + type.getSimpleName());
    }

    void whole(Connection connection, Message.Submit submit, String body) {
        start(connection, submit, "application/json");
        chunk(connection, submit, 0, body);
        finish(connection, submit, 1);
    }

    void start(Connection connection, Message.Submit submit, String type) {
        connection.send(new Message.Started(submit.attempt(), 200, Map.of("content-type", type)));
    }

    void chunk(Connection connection, Message.Submit submit, int sequence, String text) {
        connection.send(
                new Message.Chunk(
                        submit.attempt(), sequence, text.getBytes(StandardCharsets.UTF_8)));
    }

    void finish(Connection connection, Message.Submit submit, int chunks) {
        connection.send(new Message.Finished(submit.attempt(), chunks, 3, 5, 1, load(false)));
    }

    void refuse(Connection connection, Message.Submit submit, ErrorCode code) {
        connection.send(
                new Message.Refused(submit.attempt(), code, 700, load(code == ErrorCode.LEAVING)));
    }

    @Override
    public void onOpen(Connection connection) {
        connection.send(new Message.Hello(incarnation, "target", Optional.of(target), 0));
        connection.send(new Message.LoadReport(load(false)));
        opened.add(connection);
    }

    @Override
    public void onMessage(Connection connection, Message message) {
        if (message instanceof Message.Submit submit) {
            Behaviour inForce = behaviour;
            submits.add(new Arrived(connection, submit));
            inForce.answer(connection, submit);
        } else if (message instanceof Message.LoadQuery) {
            connection.send(new Message.LoadReport(load(false)));
        } else {
            others.add(message);
        }
    }

    @Override
    public void onClosed(Connection connection) {}

    @Override
    public void onConnectFailed(TamaracktrackException failure) {}
}
