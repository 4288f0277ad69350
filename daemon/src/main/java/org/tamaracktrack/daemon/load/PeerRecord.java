package org.tamaracktrack.daemon.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashSet;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.tamaracktrack.core.dispatch.Peer;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.DataCentreId;

/** Encodes and decodes the set of daemons that exchange loads, by position. */
final class PeerRecord {
    private PeerRecord() {}

    static byte[] encode(Set<Peer> peers) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(peers.size());
            for (Peer peer : peers) {
                packer.packString(peer.process());
                packer.packString(peer.dataCentre().value());
                packer.packString(peer.address());
            }
            return packer.toByteArray();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    static Set<Peer> decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int count = unpacker.unpackInt();
            Set<Peer> peers = new HashSet<>();
            for (int index = 0; index < count; index++) {
                peers.add(
                        new Peer(
                                unpacker.unpackString(),
                                DataCentreId.of(unpacker.unpackString()),
                                unpacker.unpackString()));
            }
            return peers;
        } catch (IOException | MessagePackException unreadable) {
            throw TamaracktrackException.of(
                    ErrorCode.BAD_FRAME, "peer list can't be decoded", unreadable);
        }
    }
}
