package org.tamaracktrack.daemon.load;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.function.BiConsumer;

/**
 * Shares one socket between the messages about load and those about quotas. Both are MessagePack;
 * the first value of the former is a string, that of the latter a short array.
 */
public final class DatagramKinds {
    private static final int SHORT_ARRAY_MASK = 0xf0;
    private static final int SHORT_ARRAY = 0x90;

    private final Datagrams socket;
    private BiConsumer<InetSocketAddress, byte[]> loadReceiver = (from, message) -> {};
    private BiConsumer<InetSocketAddress, byte[]> quotaReceiver = (from, message) -> {};

    private DatagramKinds(Datagrams socket) {
        this.socket = socket;
    }

    /**
     * Shares a socket.
     *
     * @param socket sends and receives all messages
     * @return the kinds of messages
     */
    public static DatagramKinds of(Datagrams socket) {
        Objects.requireNonNull(socket, "socket is null");
        DatagramKinds kinds = new DatagramKinds(socket);
        socket.onReceived(kinds::receive);
        return kinds;
    }

    /**
     * Returns the messages about load.
     *
     * @return sends and receives them
     */
    public Datagrams loads() {
        return new Kind() {
            @Override
            public void onReceived(BiConsumer<InetSocketAddress, byte[]> receiver) {
                loadReceiver = receiver;
            }
        };
    }

    /**
     * Returns the messages about quotas.
     *
     * @return sends and receives them
     */
    public Datagrams quotas() {
        return new Kind() {
            @Override
            public void onReceived(BiConsumer<InetSocketAddress, byte[]> receiver) {
                quotaReceiver = receiver;
            }
        };
    }

    private abstract class Kind implements Datagrams {
        @Override
        public void send(InetSocketAddress address, byte[] message) {
            socket.send(address, message);
        }
    }

    private void receive(InetSocketAddress from, byte[] message) {
        boolean quota = message.length > 0 && (message[0] & SHORT_ARRAY_MASK) == SHORT_ARRAY;
        (quota ? quotaReceiver : loadReceiver).accept(from, message);
    }
}
