package org.tamaracktrack.link.frame;

import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.message.Message;

/**
 * What a daemon does with a connection. Called by the connection's input/output thread, one call at
 * a time for a connection, so it must not block.
 */
public interface ConnectionHandler {

    /**
     * The other end has proved the shared secret.
     *
     * @param connection the connection
     */
    void onOpen(Connection connection);

    /**
     * A message arrived.
     *
     * @param connection the connection
     * @param message the message
     */
    void onMessage(Connection connection, Message message);

    /**
     * The connection closed; called exactly once after {@code onOpen}.
     *
     * @param connection the connection
     */
    void onClosed(Connection connection);

    /**
     * The connection could not be opened: nothing was sent on it.
     *
     * @param failure why: {@code TARGET_UNREACHABLE} or {@code PEER_REFUSED}
     */
    void onConnectFailed(TamaracktrackException failure);
}
