package org.tamaracktrack.daemon.load;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/** Records the messages sent and lets a test inject received ones. */
final class FakeDatagrams implements Datagrams {
    final List<byte[]> sent = new ArrayList<>();
    BiConsumer<InetSocketAddress, byte[]> receiver = (from, message) -> {};

    @Override
    public void send(InetSocketAddress address, byte[] message) {
        sent.add(message);
    }

    @Override
    public void onReceived(BiConsumer<InetSocketAddress, byte[]> newReceiver) {
        receiver = newReceiver;
    }

    byte[] lastSent() {
        return sent.get(sent.size() - 1);
    }
}
