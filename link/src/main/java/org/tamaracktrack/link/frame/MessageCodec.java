package org.tamaracktrack.link.frame;

import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.message.Message;

/** Encodes messages as frame bodies and decodes them. */
public interface MessageCodec {

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the body of the frame
     */
    byte[] encode(Message message);

    /**
     * Decodes a message.
     *
     * @param frame the body of the frame
     * @return the message
     * @throws TamaracktrackException with {@code BAD_FRAME} if the body is not a valid message
     */
    Message decode(byte[] frame);
}
