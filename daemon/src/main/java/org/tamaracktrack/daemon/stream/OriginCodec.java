package org.tamaracktrack.daemon.stream;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.SoftwareVersion;
import org.tamaracktrack.core.stream.OriginMessage;
import org.tamaracktrack.core.stream.StreamOrigin;

/**
 * Encodes and decodes messages about the origins of streams: a small integer for the kind, then the
 * fields by position.
 */
final class OriginCodec {
    private static final int NOTICE = 1;
    private static final int QUESTION = 2;
    private static final int ANSWER = 3;

    private OriginCodec() {}

    static byte[] encode(OriginMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            if (message instanceof OriginMessage.Notice notice) {
                packer.packInt(NOTICE).packArrayHeader(notice.streams().size());
                for (OriginMessage.Begun begun : notice.streams()) {
                    packer.packString(begun.attempt());
                    pack(packer, begun.origin());
                }
            } else if (message instanceof OriginMessage.Question question) {
                packer.packInt(QUESTION)
                        .packLong(question.number())
                        .packString(question.attempt())
                        .packString(question.service().value());
            } else if (message instanceof OriginMessage.Answer answer) {
                packer.packInt(ANSWER).packLong(answer.number());
                packer.packBoolean(answer.origin().isPresent());
                if (answer.origin().isPresent()) {
                    pack(packer, answer.origin().get());
                }
                packer.packBoolean(answer.only().isPresent());
                if (answer.only().isPresent()) {
                    packer.packString(answer.only().get().value());
                }
            }
            return packer.toByteArray();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static void pack(MessageBufferPacker packer, StreamOrigin origin) throws IOException {
        packer.packString(origin.service().value()).packString(origin.version().value());
    }

    /**
     * Decodes a message.
     *
     * @throws TamaracktrackException with {@code BAD_FRAME} or {@code BAD_IDENTIFIER} if it is not
     *     a message about origins
     */
    static OriginMessage decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int kind = unpacker.unpackInt();
            return switch (kind) {
                case NOTICE -> unpackNotice(unpacker);
                case QUESTION ->
                        new OriginMessage.Question(
                                unpacker.unpackLong(),
                                unpacker.unpackString(),
                                ServiceId.of(unpacker.unpackString()));
                case ANSWER -> unpackAnswer(unpacker);
                default ->
                        throw TamaracktrackException.of(
                                ErrorCode.BAD_FRAME, "unknown kind of origin message: " + kind);
            };
        } catch (IOException | MessagePackException unreadable) {
            throw TamaracktrackException.of(
                    ErrorCode.BAD_FRAME, "origin message can't be decoded", unreadable);
        }
    }

    private static OriginMessage unpackNotice(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        List<OriginMessage.Begun> streams = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            streams.add(new OriginMessage.Begun(unpacker.unpackString(), unpackOrigin(unpacker)));
        }
        return new OriginMessage.Notice(streams);
    }

    private static OriginMessage unpackAnswer(MessageUnpacker unpacker) throws IOException {
        long number = unpacker.unpackLong();
        Optional<StreamOrigin> origin =
                unpacker.unpackBoolean() ? Optional.of(unpackOrigin(unpacker)) : Optional.empty();
        Optional<SoftwareVersion> only =
                unpacker.unpackBoolean()
                        ? Optional.of(SoftwareVersion.of(unpacker.unpackString()))
                        : Optional.empty();
        return new OriginMessage.Answer(number, origin, only);
    }

    private static StreamOrigin unpackOrigin(MessageUnpacker unpacker) throws IOException {
        return new StreamOrigin(
                ServiceId.of(unpacker.unpackString()), SoftwareVersion.of(unpacker.unpackString()));
    }
}
