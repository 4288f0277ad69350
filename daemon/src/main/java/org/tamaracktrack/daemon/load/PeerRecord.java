package org.tamaracktrack.daemon.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.tamaracktrack.core.dispatch.Peer;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.DataCentreId;

/**
 * Encodes and decodes the set of daemons that exchange loads, by position. The processor shares
 * come last, where daemons of earlier versions ignore them.
 */
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
            for (Peer peer : peers) {
                packer.packDouble(peer.processorShare());
            }
            return packer.toByteArray();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    static Set<Peer> decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int count = unpacker.unpackInt();
            List<Peer> peers = new ArrayList<>();
            for (int index = 0; index < count; index++) {
                peers.add(
                        Peer.of(
                                unpacker.unpackString(),
                                DataCentreId.of(unpacker.unpackString()),
                                unpacker.unpackString()));
            }
            return unpacker.hasNext() ? withProcessorShares(peers, unpacker) : Set.copyOf(peers);
        } catch (IOException | MessagePackException unreadable) {
            throw TamaracktrackException.of(
                    ErrorCode.BAD_FRAME, "peer list can't be decoded", unreadable);
        }
    }

    private static Set<Peer> withProcessorShares(List<Peer> peers, MessageUnpacker unpacker)
            throws IOException {
        Set<Peer> complete = new HashSet<>();
        for (Peer peer : peers) {
            complete.add(
                    new Peer(
                            peer.process(),
                            peer.dataCentre(),
                            peer.address(),
                            unpacker.unpackDouble()));
        }
        return complete;
    }
}
