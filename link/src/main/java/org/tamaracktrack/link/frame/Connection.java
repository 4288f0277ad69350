package org.tamaracktrack.link.frame;

import org.tamaracktrack.core.message.Message;

/** An authenticated connection to another daemon. Safe for use by several threads. */
public interface Connection {

    /**
     * Queues a message. Messages arrive in the order in which they were queued, or not at all once
     * the connection is closed.
     *
     * @param message the message
     * @return false when the connection is closed or its send queue is over its bound, in which
     *     case the message will not be sent
     */
    boolean send(Message message);

    /**
     * Returns what was queued and has not left this process.
     *
     * @return its size in bytes
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
     * Returns the other end's address, for logs.
     *
     * @return IP number and port
     */
    String remote();
}
