package org.tamaracktrack.daemon.load;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.function.BiConsumer;

/**
 * Shares one socket between the messages about load, about quotas, about streams and about the
 * usage of client accounts. All are MessagePack; the first value is a string, a short array, a
 * small integer or nil, respectively. Daemons that do not know a kind take it for a load and drop
 * it as unreadable.
 */
public final class DatagramKinds {
    private static final int SHORT_ARRAY_MASK = 0xf0;
    private static final int SHORT_ARRAY = 0x90;
    private static final int SMALL_INTEGER_MASK = 0x80;
    private static final byte NIL = (byte) 0xc0;

    private final Datagrams socket;
    private BiConsumer<InetSocketAddress, byte[]> loadReceiver = (from, message) -> {};
    private BiConsumer<InetSocketAddress, byte[]> quotaReceiver = (from, message) -> {};
    private BiConsumer<InetSocketAddress, byte[]> streamReceiver = (from, message) -> {};
    private BiConsumer<InetSocketAddress, byte[]> usageReceiver = (from, message) -> {};

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

    /**
     * Returns the messages about streams.
     *
     * @return sends and receives them
     */
    public Datagrams streams() {
        return new Kind() {
            @Override
            public void onReceived(BiConsumer<InetSocketAddress, byte[]> receiver) {
                streamReceiver = receiver;
            }
        };
    }

    /**
     * Returns the messages about the usage of client accounts.
     *
     * @return sends and receives them
     */
    public Datagrams usages() {
        return new Kind() {
            @Override
            public void onReceived(BiConsumer<InetSocketAddress, byte[]> receiver) {
                usageReceiver = receiver;
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
        if (message.length > 0) {
            receiver(message[0]).accept(from, message);
        }
    }

    private BiConsumer<InetSocketAddress, byte[]> receiver(byte first) {
        if ((first & SMALL_INTEGER_MASK) == 0) {
            return streamReceiver;
        }
        if (first == NIL) {
            return usageReceiver;
        }
        return (first & SHORT_ARRAY_MASK) == SHORT_ARRAY ? quotaReceiver : loadReceiver;
    }
}
