package org.tamaracktrack.daemon.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.tamaracktrack.core.dispatch.LoadShare;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.TargetId;

/**
 * The datagram with the load of one daemon at targets, encoded by position.
 *
 * @param process the name of the process run that sends it
 * @param shares the load by target; the daemon has no requests at targets that are absent
 */
record LoadRecord(String process, Map<TargetIncarnation, LoadShare> shares) {
    private static final int FIELDS = 4;

    LoadRecord {
        Objects.requireNonNull(process, "process is null");
        shares = Map.copyOf(shares);
    }

    byte[] encode() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packString(process);
            packer.packArrayHeader(shares.size() * FIELDS);
            for (Map.Entry<TargetIncarnation, LoadShare> share : shares.entrySet()) {
                packer.packString(share.getKey().target().value());
                packer.packLong(share.getKey().startedAtMillis());
                packer.packInt(share.getValue().outstanding());
                packer.packInt(share.getValue().pendingPromptTokens());
            }
            return packer.toByteArray();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    static LoadRecord decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            String process = unpacker.unpackString();
            int count = unpacker.unpackArrayHeader() / FIELDS;
            Map<TargetIncarnation, LoadShare> shares = new HashMap<>();
            for (int index = 0; index < count; index++) {
                TargetId target = TargetId.of(unpacker.unpackString());
                long startedAtMillis = unpacker.unpackLong();
                shares.put(
                        new TargetIncarnation(target, startedAtMillis),
                        new LoadShare(count(unpacker), count(unpacker)));
            }
            return new LoadRecord(process, shares);
        } catch (IOException | MessagePackException unreadable) {
            throw TamaracktrackException.of(
                    ErrorCode.BAD_FRAME, "load datagram can't be decoded", unreadable);
        }
    }

    private static int count(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackInt();
        if (count < 0) {
            throw TamaracktrackException.of(
                    ErrorCode.BAD_FRAME, "load datagram contains a negative count");
        }
        return count;
    }
}
