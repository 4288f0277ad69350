package org.tamaracktrack.daemon.connection;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Accepts the connections of callers. Unlike a listener of {@code Undertow}, it can close a
 * connection before anything is read from it, which tells the caller that its request did not run.
 */
public final class CallersListener implements AutoCloseable {
    private final HttpOpenListener openListener;
    private final AcceptingChannel<StreamConnection> channel;

    private CallersListener(
            HttpOpenListener openListener, AcceptingChannel<StreamConnection> channel) {
        this.openListener = openListener;
        this.channel = channel;
    }

    /**
     * Starts to accept connections.
     *
     * @param address the address to listen at
     * @param worker its threads
     * @param buffers its buffers
     * @param options the options of Undertow and of the sockets
     * @param handler handles requests
     * @param sheds returns whether to close the connection that was just accepted
     * @param onRequestShed called when a part of a request was there
     * @return the listener
     * @throws TamaracktrackException with {@code INVALID_SETTINGS} when the address can't be used
     */
    public static CallersListener start(
            InetSocketAddress address,
            XnioWorker worker,
            ByteBufferPool buffers,
            OptionMap options,
            HttpHandler handler,
            BooleanSupplier sheds,
            Runnable onRequestShed) {
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(sheds, "sheds is null");
        Objects.requireNonNull(onRequestShed, "onRequestShed is null");
        HttpOpenListener openListener = new HttpOpenListener(buffers, options);
        openListener.setRootHandler(handler);
        ChannelListener<StreamConnection> shedding =
                connection -> {
                    if (sheds.getAsBoolean()) {
                        if (hasBytes(connection)) {
                            onRequestShed.run();
                        }
                        IoUtils.safeClose(connection);
                    } else {
                        openListener.handleEvent(connection);
                    }
                };
        OptionMap socketOptions =
                OptionMap.builder().set(Options.REUSE_ADDRESSES, true).addAll(options).getMap();
        try {
            AcceptingChannel<StreamConnection> channel =
                    worker.createStreamConnectionServer(
                            address, ChannelListeners.openListenerAdapter(shedding), socketOptions);
            channel.resumeAccepts();
            return new CallersListener(openListener, channel);
        } catch (IOException failure) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS, "can't listen at " + address, failure);
        }
    }

    // A single byte is read, so that the rest stays unread and the caller is sent a reset.
    private static boolean hasBytes(StreamConnection connection) {
        try {
            return connection.getSourceChannel().read(ByteBuffer.allocate(1)) > 0;
        } catch (IOException broken) {
            return false;
        }
    }

    /**
     * Returns the address that it listens at.
     *
     * @return IP number and port
     */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    @Override
    public void close() {
        IoUtils.safeClose(channel);
        openListener.closeConnections();
    }
}
