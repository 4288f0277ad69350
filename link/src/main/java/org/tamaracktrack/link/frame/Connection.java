package org.tamaracktrack.link.frame;

import org.tamaracktrack.core.message.Message;

/** An authenticated connection to another daemon. Safe for use by several threads. */
public interface Connection {

    /**
     * Queues a message. Messages are delivered in the order in which they were queued; those still
     * queued when the connection closes are lost.
     *
     * @param message the message
     * @return false if the message was not queued, because the connection is closed or its send
     *     queue is full
     */
    boolean send(Message message);

    /**
     * Returns the size of the messages that are queued and not yet written to the socket.
     *
     * @return the size in bytes
     */
    long queuedBytes();

    /** Closes the connection; messages that are still queued may be lost. */
    void close();

    /**
     * Returns whether the connection is open.
     *
     * @return true when open
     */
    boolean isOpen();

    /**
     * Returns the address of the peer, for log lines.
     *
     * @return the IP address and port
     */
    String remote();
}
