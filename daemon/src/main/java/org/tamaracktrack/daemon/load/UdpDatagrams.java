package org.tamaracktrack.daemon.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.function.BiConsumer;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/** Messages over UDP, on a thread of the given worker. */
public final class UdpDatagrams implements Datagrams {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.load");

    /** The largest message; longer ones are cut by the network and dropped as unreadable. */
    private static final int MOST_BYTES = 8 * 1024;

    /** Messages taken at one wake-up, so that a flood leaves time for requests. */
    private static final int MOST_AT_ONCE = 64;

    /** Two processes at one address would each get a part of the messages. */
    private static final OptionMap EXCLUSIVE = OptionMap.create(Options.REUSE_ADDRESSES, false);

    private final MulticastMessageChannel channel;
    private final ByteBuffer buffer = ByteBuffer.allocate(MOST_BYTES);
    private final SocketAddressBuffer addresses = new SocketAddressBuffer();
    private BiConsumer<InetSocketAddress, byte[]> receiver = (from, message) -> {};

    private UdpDatagrams(MulticastMessageChannel channel) {
        this.channel = channel;
    }

    /**
     * Opens a socket.
     *
     * @param worker its threads
     * @param address where it receives, and sends from
     * @return the open socket
     * @throws TamaracktrackException with {@code INVALID_SETTINGS} when the address can't be used
     */
    public static UdpDatagrams open(XnioWorker worker, InetSocketAddress address) {
        Objects.requireNonNull(worker, "worker is null");
        Objects.requireNonNull(address, "address is null");
        try {
            UdpDatagrams opened = new UdpDatagrams(worker.createUdpServer(address, EXCLUSIVE));
            opened.channel.getReadSetter().set(readable -> opened.read());
            opened.channel.resumeReads();
            return opened;
        } catch (IOException failure) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS, "can't receive at " + address, failure);
        }
    }

    /**
     * Returns where messages are received.
     *
     * @return IP number and port
     */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    @Override
    public void onReceived(BiConsumer<InetSocketAddress, byte[]> taker) {
        receiver = taker;
    }

    @Override
    public void send(InetSocketAddress target, byte[] message) {
        try {
            channel.sendTo(target, ByteBuffer.wrap(message));
        } catch (IOException failure) {
            // The next message tells the same; a peer that can't be reached is gone.
            LOG.info("event=load-not-sent problem=\"" + failure.getMessage() + '"');
        }
    }

    private void read() {
        try {
            for (int count = 0; count < MOST_AT_ONCE; count++) {
                buffer.clear();
                channel.receiveFrom(addresses, buffer);
                if (buffer.position() == 0) {
                    return;
                }
                byte[] message = new byte[buffer.position()];
                buffer.flip().get(message);
                receiver.accept(addresses.getSourceAddress(InetSocketAddress.class), message);
            }
        } catch (IOException failure) {
            // What was lost is told again with the next message.
            LOG.info("event=load-not-received problem=\"" + failure.getMessage() + '"');
        }
    }
}
