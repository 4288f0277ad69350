package org.tamaracktrack.daemon.target;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.link.frame.Connection;

/** A connection to an entry daemon that records the messages sent to it. */
final class FakeConnection implements Connection {
    private static final long LIMIT_SECONDS = 10;

    private final BlockingQueue<Message> sent = new LinkedBlockingQueue<>();
    private volatile boolean open = true;

    @Override
    public boolean send(Message message) {
        return open && sent.add(message);
    }

    @Override
    public long queuedBytes() {
        return 0;
    }

    @Override
    public void close() {
        open = false;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public String remote() {
        return "test";
    }

    /** Waits for the next message of a type and discards other messages, such as load reports. */
    <T extends Message> T next(Class<T> type) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        try {
            while (true) {
                Message message =
                        sent.poll(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
                if (message == null) {
                    throw TamaracktrackException.of(
                            ErrorCode.INTERNAL,
                            "no message of type " + type.getSimpleName() + " was sent in time");
                }
                if (type.isInstance(message)) {
                    return type.cast(message);
                }
            }
        } catch (InterruptedException interrupted) {
            throw TamaracktrackException.of(
                    ErrorCode.INTERNAL, "interrupted while waiting for a message", interrupted);
        }
    }

    /** Counts the messages of a type that have been sent and not read by the test. */
    long countQueued(Class<? extends Message> type) {
        return sent.stream().filter(type::isInstance).count();
    }
}
