package org.tamaracktrack.link.http;

import java.net.SocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.BoundChannel;

/**
 * Opens connections for Undertow's client on a worker's threads, and installs a guard on each
 * before the client sees it. The client takes no connections that others opened, so this class
 * stands in for the thread on which it asks to open one. It is never started.
 */
final class GuardedConnects extends XnioIoThread {
    private final XnioWorker worker;
    private final AnswerBounds bounds;
    private final ThreadLocal<BoundedAnswerConduit> opening = new ThreadLocal<>();

    private GuardedConnects(XnioWorker worker, AnswerBounds bounds) {
        super(worker, 0, "guarded-connects");
        this.worker = worker;
        this.bounds = bounds;
    }

    static GuardedConnects of(XnioWorker worker, AnswerBounds bounds) {
        return new GuardedConnects(worker, bounds);
    }

    /** Returns the guard of the connection that the calling thread is handing to the client. */
    Optional<BoundedAnswerConduit> opening() {
        return Optional.ofNullable(opening.get());
    }

    private ChannelListener<StreamConnection> guarding(
            ChannelListener<? super StreamConnection> listener) {
        return connection -> {
            opening.set(BoundedAnswerConduit.install(connection, bounds));
            try {
                listener.handleEvent(connection);
            } finally {
                opening.remove();
            }
        };
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination,
            ChannelListener<? super StreamConnection> openListener,
            OptionMap options) {
        return worker.openStreamConnection(destination, guarding(openListener), options);
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination,
            ChannelListener<? super StreamConnection> openListener,
            ChannelListener<? super BoundChannel> bindListener,
            OptionMap options) {
        return worker.openStreamConnection(
                destination, guarding(openListener), bindListener, options);
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress bindAddress,
            SocketAddress destination,
            ChannelListener<? super StreamConnection> openListener,
            ChannelListener<? super BoundChannel> bindListener,
            OptionMap options) {
        return worker.openStreamConnection(
                bindAddress, destination, guarding(openListener), bindListener, options);
    }

    @Override
    public void execute(Runnable command) {
        worker.getIoThread().execute(command);
    }

    @Override
    public Key executeAfter(Runnable command, long time, TimeUnit unit) {
        return worker.getIoThread().executeAfter(command, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
        return worker.getIoThread().executeAtInterval(command, time, unit);
    }
}
