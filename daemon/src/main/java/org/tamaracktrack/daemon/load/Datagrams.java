package org.tamaracktrack.daemon.load;

import java.net.InetSocketAddress;
import java.util.function.BiConsumer;

/** Sends and receives datagrams, which may be lost. */
public interface Datagrams {

    /**
     * Sends a message, or drops it if it can't be sent immediately.
     *
     * @param address the address to send to
     * @param message the bytes of the message
     */
    void send(InetSocketAddress address, byte[] message);

    /**
     * Sets the receiver of messages, which replaces the previous one.
     *
     * @param receiver called with the address of the sender and the bytes of each message
     */
    void onReceived(BiConsumer<InetSocketAddress, byte[]> receiver);
}
