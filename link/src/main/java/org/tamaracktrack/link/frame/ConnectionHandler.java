package org.tamaracktrack.link.frame;

import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.message.Message;

/**
 * Handles the events of a connection. Methods are called on the connection's input/output thread,
 * one call at a time per connection, and must not block.
 */
public interface ConnectionHandler {

    /**
     * Handles an open connection: the peer has been authenticated.
     *
     * @param connection the connection
     */
    void onOpen(Connection connection);

    /**
     * Handles a message that arrived.
     *
     * @param connection the connection
     * @param message the message
     */
    void onMessage(Connection connection, Message message);

    /**
     * Handles the close of the connection. Called exactly once after {@code onOpen}.
     *
     * @param connection the connection
     */
    void onClosed(Connection connection);

    /**
     * Handles a connection that could not be opened. No message was sent on it.
     *
     * @param failure the failure, with the code {@code TARGET_UNREACHABLE} or {@code PEER_REFUSED}
     */
    void onConnectFailed(TamaracktrackException failure);
}
