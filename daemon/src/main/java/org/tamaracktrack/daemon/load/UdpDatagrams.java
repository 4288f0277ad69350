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

/** Sends and receives datagrams over UDP, on a thread of the given worker. */
public final class UdpDatagrams implements Datagrams {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.load");

    /** Largest message; longer ones are truncated on receipt and dropped as undecodable. */
    private static final int MAXIMUM_MESSAGE_BYTES = 8 * 1024;

    /** Limit of messages per read event, so that a flood does not delay requests. */
    private static final int MAXIMUM_MESSAGES_PER_READ = 64;

    /** Prevents two processes at one address, which would each receive a part of the messages. */
    private static final OptionMap EXCLUSIVE_ADDRESS =
            OptionMap.create(Options.REUSE_ADDRESSES, false);

    private final MulticastMessageChannel channel;
    private final ByteBuffer buffer = ByteBuffer.allocate(MAXIMUM_MESSAGE_BYTES);
    private final SocketAddressBuffer addresses = new SocketAddressBuffer();
    private BiConsumer<InetSocketAddress, byte[]> receiver = (from, message) -> {};

    private UdpDatagrams(MulticastMessageChannel channel) {
        this.channel = channel;
    }

    /**
     * Opens a socket.
     *
     * @param worker the worker whose thread receives messages
     * @param address the local address to receive at and send from
     * @return the open socket
     * @throws TamaracktrackException with {@code INVALID_SETTINGS} if the address can't be used
     */
    public static UdpDatagrams open(XnioWorker worker, InetSocketAddress address) {
        Objects.requireNonNull(worker, "worker is null");
        Objects.requireNonNull(address, "address is null");
        try {
            UdpDatagrams opened =
                    new UdpDatagrams(worker.createUdpServer(address, EXCLUSIVE_ADDRESS));
            opened.channel.getReadSetter().set(readable -> opened.read());
            opened.channel.resumeReads();
            return opened;
        } catch (IOException failure) {
            throw TamaracktrackException.of(
                    ErrorCode.INVALID_SETTINGS, "can't receive at " + address, failure);
        }
    }

    /**
     * Returns the address at which messages are received.
     *
     * @return IP number and port
     */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    @Override
    public void onReceived(BiConsumer<InetSocketAddress, byte[]> newReceiver) {
        receiver = newReceiver;
    }

    @Override
    public void send(InetSocketAddress address, byte[] message) {
        try {
            channel.sendTo(address, ByteBuffer.wrap(message));
        } catch (IOException failure) {
            // The next message makes up for this one, unless the peer has stopped.
            LOG.info("event=load-not-sent problem=\"" + failure.getMessage() + '"');
        }
    }

    private void read() {
        try {
            for (int count = 0; count < MAXIMUM_MESSAGES_PER_READ; count++) {
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
            // The next message makes up for a lost one.
            LOG.info("event=load-not-received problem=\"" + failure.getMessage() + '"');
        }
    }
}
