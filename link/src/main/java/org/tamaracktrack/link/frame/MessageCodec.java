package org.tamaracktrack.link.frame;

import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.message.Message;

/** How messages are written into frames. */
public interface MessageCodec {

    /**
     * Writes a message.
     *
     * @param message the message
     * @return the frame's body
     */
    byte[] encode(Message message);

    /**
     * Reads a message.
     *
     * @param frame the frame's body
     * @return the message
     * @throws TamaracktrackException with {@code BAD_FRAME} when it is none
     */
    Message decode(byte[] frame);
}
