package org.tamaracktrack.link.frame;

import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.link.codec.Codecs;

/** MessagePack by the fields of each kind of message. */
final class EveryMessageCodec implements MessageCodec {

    @Override
    public byte[] encode(Message message) {
        return Codecs.encode(Codecs.messagePack(), message);
    }

    @Override
    public Message decode(byte[] frame) {
        try {
            return Codecs.decode(Codecs.messagePack(), frame, Message.class);
        } catch (TamaracktrackException failure) {
            throw TamaracktrackException.of(ErrorCode.BAD_FRAME, "not a message", failure);
        }
    }
}
