package org.tamaracktrack.link.frame;

import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.link.codec.Codecs;

/** Encodes all types of messages as MessagePack maps of their fields, with Jackson. */
final class JacksonMessageCodec implements MessageCodec {

    @Override
    public byte[] encode(Message message) {
        return Codecs.encode(Codecs.messagePack(), message);
    }

    @Override
    public Message decode(byte[] frame) {
        try {
            return Codecs.decode(Codecs.messagePack(), frame, Message.class);
        } catch (TamaracktrackException failure) {
            throw TamaracktrackException.of(
                    ErrorCode.BAD_FRAME, "frame is not a valid message", failure);
        }
    }
}
