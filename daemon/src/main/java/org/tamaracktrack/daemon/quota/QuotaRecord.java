package org.tamaracktrack.daemon.quota;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.quota.Admission;
import org.tamaracktrack.core.quota.QuotaLimit;
import org.tamaracktrack.core.quota.QuotaMessage;

/** Encodes and decodes quota messages: an array of the kind and the fields by position. */
final class QuotaRecord {
    private static final int PING = 1;
    private static final int PONG = 2;
    private static final int ASK = 3;
    private static final int ANSWER = 4;
    private static final int GIVE_BACK = 5;

    private QuotaRecord() {}

    static byte[] encode(QuotaMessage message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            if (message instanceof QuotaMessage.Ping ping) {
                begin(packer, PING, 3)
                        .packLong(ping.number())
                        .packDouble(ping.vote())
                        .packInt(ping.knownDaemons());
            } else if (message instanceof QuotaMessage.Pong pong) {
                begin(packer, PONG, 2).packLong(pong.number()).packInt(pong.knownDaemons());
            } else if (message instanceof QuotaMessage.Ask ask) {
                begin(packer, ASK, 6)
                        .packLong(ask.number())
                        .packLong(ask.cost())
                        .packString(ask.limit().account().value())
                        .packLong(ask.limit().version())
                        .packDouble(ask.limit().ratePerSecond())
                        .packDouble(ask.limit().burst());
            } else if (message instanceof QuotaMessage.Answer answer) {
                begin(packer, ANSWER, 3)
                        .packLong(answer.number())
                        .packInt(answer.outcome().ordinal())
                        .packLong(answer.retryAfterMillis());
            } else if (message instanceof QuotaMessage.GiveBack giveBack) {
                begin(packer, GIVE_BACK, 1).packLong(giveBack.number());
            }
            return packer.toByteArray();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private static MessageBufferPacker begin(MessageBufferPacker packer, int kind, int fields)
            throws IOException {
        packer.packArrayHeader(fields + 1).packInt(kind);
        return packer;
    }

    /**
     * Decodes a message.
     *
     * @throws TamaracktrackException with {@code BAD_FRAME} if it is not a quota message
     */
    static QuotaMessage decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            unpacker.unpackArrayHeader();
            return decode(unpacker.unpackInt(), unpacker);
        } catch (IOException | MessagePackException | IllegalArgumentException unreadable) {
            throw TamaracktrackException.of(
                    ErrorCode.BAD_FRAME, "quota message can't be decoded", unreadable);
        }
    }

    private static QuotaMessage decode(int kind, MessageUnpacker unpacker) throws IOException {
        return switch (kind) {
            case PING ->
                    new QuotaMessage.Ping(
                            unpacker.unpackLong(), unpacker.unpackDouble(), unpacker.unpackInt());
            case PONG -> new QuotaMessage.Pong(unpacker.unpackLong(), unpacker.unpackInt());
            case ASK -> decodeAsk(unpacker);
            case ANSWER ->
                    new QuotaMessage.Answer(
                            unpacker.unpackLong(),
                            outcome(unpacker.unpackInt()),
                            unpacker.unpackLong());
            case GIVE_BACK -> new QuotaMessage.GiveBack(unpacker.unpackLong());
            default ->
                    throw TamaracktrackException.of(
                            ErrorCode.BAD_FRAME, "unknown kind of quota message: " + kind);
        };
    }

    private static QuotaMessage.Ask decodeAsk(MessageUnpacker unpacker) throws IOException {
        long number = unpacker.unpackLong();
        long cost = unpacker.unpackLong();
        return new QuotaMessage.Ask(
                number,
                new QuotaLimit(
                        ClientAccountId.of(unpacker.unpackString()),
                        unpacker.unpackLong(),
                        unpacker.unpackDouble(),
                        unpacker.unpackDouble()),
                cost);
    }

    private static Admission.Outcome outcome(int ordinal) {
        Admission.Outcome[] outcomes = Admission.Outcome.values();
        if (ordinal < 0 || ordinal >= outcomes.length) {
            throw TamaracktrackException.of(
                    ErrorCode.BAD_FRAME, "unknown outcome of a quota message: " + ordinal);
        }
        return outcomes[ordinal];
    }
}
