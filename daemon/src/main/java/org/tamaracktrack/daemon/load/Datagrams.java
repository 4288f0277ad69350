package org.tamaracktrack.daemon.load;

import java.net.InetSocketAddress;
import java.util.function.BiConsumer;

/** Carries single messages that may be lost. */
public interface Datagrams {

    /**
     * Sends a message, or drops it when that is not possible now.
     *
     * @param target where to
     * @param message its bytes
     */
    void send(InetSocketAddress target, byte[] message);

    /**
     * Names who takes messages.
     *
     * @param receiver takes the sender's address and the bytes
     */
    void onReceived(BiConsumer<InetSocketAddress, byte[]> receiver);
}
