package org.tamaracktrack.link.frame;

import java.net.InetSocketAddress;

/** Opens and accepts connections between daemons. */
public interface FrameTransport extends AutoCloseable {

    /**
     * Starts to accept connections.
     *
     * @param address the address to listen on; port 0 selects any free port
     * @param handler handles the events of each connection
     * @return the address on which the transport listens
     */
    InetSocketAddress listen(InetSocketAddress address, ConnectionHandler handler);

    /**
     * Opens a connection without blocking. The handler is notified of the outcome.
     *
     * @param address the address of the peer
     * @param handler handles the events of the connection
     */
    void connect(InetSocketAddress address, ConnectionHandler handler);

    /** Closes every connection and stops the threads. */
    @Override
    void close();
}
