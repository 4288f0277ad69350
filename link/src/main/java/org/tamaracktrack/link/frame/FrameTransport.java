package org.tamaracktrack.link.frame;

import java.net.InetSocketAddress;

/** Opens and accepts connections between daemons. */
public interface FrameTransport extends AutoCloseable {

    /**
     * Accepts connections.
     *
     * @param address where to listen; port 0 for any free one
     * @param handler what to do with each connection
     * @return the address in use
     */
    InetSocketAddress listen(InetSocketAddress address, ConnectionHandler handler);

    /**
     * Opens a connection; the handler hears of the outcome.
     *
     * @param address where to
     * @param handler what to do with the connection
     */
    void connect(InetSocketAddress address, ConnectionHandler handler);

    /** Closes every connection and stops the threads. */
    @Override
    void close();
}
