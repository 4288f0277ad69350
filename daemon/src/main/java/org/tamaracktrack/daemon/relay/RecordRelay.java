package org.tamaracktrack.daemon.relay;

import java.math.BigInteger;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.error.ErrorCode;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.knowledge.DualTimestamp;
import org.tamaracktrack.core.lease.ConditionalLease.Contact;
import org.tamaracktrack.core.message.Message;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.daemon.settings.IpAddresses;
import org.tamaracktrack.link.frame.Connection;
import org.tamaracktrack.link.frame.ConnectionHandler;
import org.tamaracktrack.link.frame.FrameTransport;
import org.tamaracktrack.link.frame.RecordsCodec;
import org.tamaracktrack.link.frame.XnioFrameTransport;
import org.tamaracktrack.link.topic.RecordBatch;
import org.tamaracktrack.link.topic.StoreEra;
import org.tamaracktrack.link.topic.TopicPart;
import org.xnio.XnioWorker;

/**
 * Relays records that the holder of a lease reads from the store to the other daemons, and records
 * of theirs to the holder. The store thereby serves the calls of one daemon instead of all.
 *
 * <p>Correctness does not depend on the relay: records carry their offsets, so that a reader
 * detects a gap and reads the store itself. It also does so when it has received nothing for {@link
 * #STALE_MILLIS}. Used on the control thread only, except where stated otherwise.
 */
public final class RecordRelay implements AutoCloseable {
    /**
     * The staleness bound in milliseconds: a daemon whose last message from the holder is older
     * reads the store itself. The reads of the holder end at least every 0.9 s, and a configuration
     * has to be in force two seconds after it was published, also when the holder is frozen.
     */
    public static final long STALE_MILLIS = 1_200;

    private static final Logger LOG = Logger.getLogger("tamaracktrack.relay");

    /** The minimum time between two attempts to connect to the holder, in milliseconds. */
    private static final long RETRY_MILLIS = 700;

    /**
     * The format of connections between daemons. Reads are small since a record has a few hundred
     * bytes. A connection whose send queue exceeds the limit is closed, since a daemon that stops
     * receiving does better to read the store.
     */
    private static final XnioFrameTransport.ConnectionOptions FORMAT =
            new XnioFrameTransport.ConnectionOptions(
                    new RecordsCodec(), 4 * 1024, RelayLimits.MAXIMUM_CONNECTION_BYTES);

    /** How often a daemon sends its clock reading to the holder, in milliseconds. */
    private static final long CLOCK_READING_INTERVAL_MILLIS = 1_000;

    /**
     * A batch whose time is further ahead of the clock than this, in milliseconds, shows that the
     * clock of this process has stood still.
     */
    private static final long CLOCK_TOLERANCE_MILLIS = 50;

    private static final int SECRET_BITS = 128;
    private static final int HEXADECIMAL_RADIX = 16;

    private final XnioWorker worker;
    private final ControlThread control;
    private final Optional<InetSocketAddress> address;
    private final StoreEra era;
    private final Map<TopicPart, Reader> readers = new HashMap<>();
    private final Map<TopicPart, Consumer<byte[]>> receivers = new HashMap<>();
    private final Followers followers;
    private final List<Runnable> followerListeners = new ArrayList<>();
    private volatile boolean holding;
    private volatile Optional<Link> link = Optional.empty();
    private Optional<FrameTransport> transport = Optional.empty();
    private Optional<Contact> contact = Optional.empty();
    private Optional<Contact> rejectedHolder = Optional.empty();
    private long nextConnectMillis;

    /** Receives the records that the holder reads, on the control thread. */
    public interface Reader {
        /**
         * Called when records of the holder have arrived.
         *
         * @param batch the records; none when there was nothing new
         * @param wholeAtMillis the time up to which the records are complete: before it, no record
         *     was written beyond them; by the steady clock of this process, in milliseconds
         */
        void onBatch(RecordBatch batch, long wholeAtMillis);

        /**
         * Called when the connection to the holder is lost: subsequent records have to be read from
         * the store.
         */
        void onLost();
    }

    private RecordRelay(
            XnioWorker worker,
            ControlThread control,
            Optional<InetSocketAddress> address,
            StoreEra era,
            Followers followers) {
        this.era = era;
        this.followers = followers;
        this.worker = worker;
        this.control = control;
        this.address = address;
    }

    /**
     * Returns a relay that neither listens nor is connected.
     *
     * @param worker the threads of its connections
     * @param control the thread that runs the relay
     * @param address the address at which other daemons reach this one; empty when they can't
     * @param era the era of the store, updated when another daemon reports a newer one
     * @param limits the limits of the bytes in transit to other daemons
     * @return the relay
     */
    public static RecordRelay of(
            XnioWorker worker,
            ControlThread control,
            Optional<InetSocketAddress> address,
            StoreEra era,
            RelayLimits limits) {
        Objects.requireNonNull(worker, "worker is null");
        Objects.requireNonNull(control, "control is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(era, "era is null");
        Objects.requireNonNull(limits, "limits is null");
        return new RecordRelay(worker, control, address, era, Followers.of(limits, era));
    }

    /**
     * Returns the address at which other daemons reach this one and its predecessors on this host.
     *
     * @return the address; empty when there is none, or it has no fixed port
     */
    public Optional<String> address() {
        return address.filter(fixed -> fixed.getPort() != 0).map(IpAddresses::format);
    }

    /**
     * Returns the contact at which other daemons reach this one, and listens there from the first
     * call on. The relay does not listen earlier because most daemons never hold the lease, and
     * processor time is scarce when a daemon starts.
     *
     * @return the contact for the records of the lease; empty when the address can't be used
     */
    public Optional<Contact> contact() {
        if (contact.isEmpty() && address.isPresent()) {
            contact = listen(address.get());
        }
        return contact;
    }

    private Optional<Contact> listen(InetSocketAddress wanted) {
        String secret = new BigInteger(SECRET_BITS, new SecureRandom()).toString(HEXADECIMAL_RADIX);
        FrameTransport listening = XnioFrameTransport.sharing(secret, worker, FORMAT);
        try {
            InetSocketAddress used = listening.listen(wanted, new FollowerHandler());
            transport = Optional.of(listening);
            return Optional.of(new Contact(IpAddresses.format(used), secret));
        } catch (TamaracktrackException unusable) {
            // Until then the other daemons read the store; the next lease record tries again.
            LOG.error("event=relay-not-listening problem=\"" + unusable.getMessage() + '"');
            return Optional.empty();
        }
    }

    /**
     * Sets the reader of the relayed records of a partition.
     *
     * @param part the partition
     * @param reader receives the records
     */
    public void onRecords(TopicPart part, Reader reader) {
        readers.put(part, reader);
    }

    /**
     * Sets the receiver of the records that other daemons send to this one as the holder.
     *
     * @param part the partition to which they would otherwise append the records
     * @param receiver receives each record, on the control thread
     */
    public void onFollowerRecord(TopicPart part, Consumer<byte[]> receiver) {
        receivers.put(part, receiver);
    }

    /**
     * Adds a listener for new followers, which have not received any records yet.
     *
     * @param listener called on the control thread when another daemon becomes a follower
     */
    public void onFollower(Runnable listener) {
        followerListeners.add(listener);
    }

    /**
     * Updates the holder of the lease, and connects to it if it is another daemon.
     *
     * @param holdsLease whether this daemon holds the lease
     * @param otherHolder the contact of another holder; empty when there is none, or it can't be
     *     reached
     */
    public void updateHolder(boolean holdsLease, Optional<Contact> otherHolder) {
        if (holding && !holdsLease) {
            followers.close();
        }
        holding = holdsLease;
        Optional<Contact> wanted = holdsLease ? Optional.empty() : otherHolder;
        if (link.isPresent() && !wanted.equals(link.map(Link::contact))) {
            link.get().end();
            link = Optional.empty();
            nextConnectMillis = 0;
            readers.values().forEach(Reader::onLost);
        }
        if (link.isEmpty() && ControlThread.nowMillis() >= nextConnectMillis) {
            // A holder that did not prove the secret is another process at the same address, for
            // example after all daemons were restarted. Repeated attempts would cost both processes
            // processor time that their callers need.
            wanted.filter(holder -> !rejectedHolder.equals(Optional.of(holder)))
                    .ifPresent(this::connect);
        }
    }

    /**
     * Returns whether this daemon holds the lease, and others therefore rely on its reads. May be
     * called by any thread.
     *
     * @return true if it holds the lease
     */
    public boolean holding() {
        return holding;
    }

    private void connect(Contact holder) {
        nextConnectMillis = ControlThread.nowMillis() + RETRY_MILLIS;
        try {
            InetSocketAddress wanted = IpAddresses.parse(holder.address());
            Link opening = new Link(holder);
            link = Optional.of(opening);
            XnioFrameTransport.sharing(holder.secret(), worker, FORMAT).connect(wanted, opening);
        } catch (TamaracktrackException unreadable) {
            // Without a connection this daemon reads the store.
            LOG.warn("event=relay-contact-unreadable address=" + holder.address());
        }
    }

    /**
     * Relays current state if this daemon holds the lease. It is sent in full regardless of its
     * size, since most of it is not stored anywhere.
     *
     * @param part the partition
     * @param batch the records
     */
    public void publish(TopicPart part, RecordBatch batch) {
        if (holding) {
            followers.send(part, batch, ControlThread.nowMillis());
        }
    }

    /**
     * Relays records that were read from the store if this daemon holds the lease. Where the link
     * has no capacity for the records, the other daemons receive a notice without them.
     *
     * @param part the partition
     * @param batch the records; none when a read found nothing new
     * @param wholeAtMillis the time up to which the records are complete: before it, no record was
     *     written beyond them; by the steady clock of this process, in milliseconds
     */
    public void publish(TopicPart part, RecordBatch batch, long wholeAtMillis) {
        if (holding) {
            followers.sendWithinLimits(part, batch, wholeAtMillis);
        }
    }

    /**
     * Returns how many notices were sent instead of batches. May be called by any thread.
     *
     * @return the number, counted per receiving daemon
     */
    public long noticeCount() {
        return followers.noticeCount();
    }

    /**
     * Returns whether this daemon receives records of the holder. May be called by any thread.
     *
     * @return true if a message arrived within {@link #STALE_MILLIS}
     */
    public boolean connected() {
        return link.filter(Link::isLive).isPresent();
    }

    /**
     * Sends a record to the holder.
     *
     * @param part the partition to which it would otherwise be appended
     * @param record its bytes
     * @return false if the holder can't be reached, and the record has to be appended instead
     */
    public boolean sendToHolder(TopicPart part, byte[] record) {
        return link.filter(Link::isLive)
                .flatMap(Link::connection)
                .filter(
                        connection ->
                                connection.send(
                                        new Message.Records(
                                                part.topic(),
                                                part.part(),
                                                0,
                                                List.of(record),
                                                0,
                                                Message.Records.UNKNOWN_MILLIS,
                                                era.newest())))
                .isPresent();
    }

    @Override
    public void close() {
        transport.ifPresent(FrameTransport::close);
        link.ifPresent(Link::end);
        followers.close();
    }

    /** The connection of this daemon to the holder. Its state is confined to the control thread. */
    private final class Link implements ConnectionHandler {
        private final Contact contact;
        private Optional<Connection> connection = Optional.empty();
        private volatile long lastReceivedMillis = Long.MIN_VALUE / 2;
        private DualTimestamp lastClockReading = DualTimestamp.never();
        private boolean isEnded;

        private Link(Contact contact) {
            this.contact = contact;
        }

        private Contact contact() {
            return contact;
        }

        private Optional<Connection> connection() {
            return connection;
        }

        // The connection to a holder that is frozen or partitioned stays open without messages;
        // records sent to it then would be lost.
        private boolean isLive() {
            return ControlThread.nowMillis() - lastReceivedMillis <= STALE_MILLIS;
        }

        private void end() {
            isEnded = true;
            connection.ifPresent(Connection::close);
        }

        @Override
        public void onOpen(Connection opened) {
            control.post(
                    () -> {
                        if (isEnded) {
                            opened.close();
                            return;
                        }
                        connection = Optional.of(opened);
                        sendClockReading();
                        LOG.info("event=relay-opened holder=" + contact.address());
                    });
        }

        @Override
        public void onMessage(Connection from, Message message) {
            if (message instanceof Message.Records records) {
                control.post(() -> handleRecords(records));
            }
        }

        private void handleRecords(Message.Records records) {
            if (isEnded) {
                return;
            }
            lastReceivedMillis = ControlThread.nowMillis();
            if (now().clocksDivergedSince(lastClockReading)) {
                // The times of messages in the socket are based on a clock that has stood still.
                connection.ifPresent(Connection::close);
                handleLoss("stood_still");
                return;
            }
            boolean ahead = records.wholeAtMillis() > lastReceivedMillis + CLOCK_TOLERANCE_MILLIS;
            long wholeAtMillis = ahead ? Message.Records.UNKNOWN_MILLIS : records.wholeAtMillis();
            if (ahead
                    || lastReceivedMillis - lastClockReading.steadyMillis()
                            >= CLOCK_READING_INTERVAL_MILLIS) {
                sendClockReading();
            }
            // Offsets of another era refer to other records.
            if (records.era() > era.newest()) {
                era.observe(records.era());
            }
            if (records.era() != era.newest()) {
                return;
            }
            RecordBatch batch = new RecordBatch(records.from(), records.records(), records.end());
            Optional.ofNullable(readers.get(new TopicPart(records.topic(), records.partition())))
                    .ifPresent(reader -> reader.onBatch(batch, wholeAtMillis));
        }

        private void sendClockReading() {
            lastClockReading = now();
            connection.ifPresent(
                    opened ->
                            opened.send(new Message.ClockReading(lastClockReading.steadyMillis())));
        }

        private DualTimestamp now() {
            return new DualTimestamp(ControlThread.nowMillis(), System.currentTimeMillis());
        }

        @Override
        public void onClosed(Connection closed) {
            control.post(() -> handleLoss("closed"));
        }

        @Override
        public void onConnectFailed(TamaracktrackException failure) {
            control.post(
                    () -> {
                        if (failure.code() == ErrorCode.PEER_REFUSED) {
                            rejectedHolder = Optional.of(contact);
                        }
                        handleLoss(failure.code().toString());
                    });
        }

        private void handleLoss(String cause) {
            if (isEnded) {
                return;
            }
            isEnded = true;
            link = Optional.empty();
            LOG.info("event=relay-lost holder=" + contact.address() + " cause=" + cause);
            readers.values().forEach(Reader::onLost);
        }
    }

    /** The connections of other daemons to this one. */
    private final class FollowerHandler implements ConnectionHandler {
        @Override
        public void onOpen(Connection opened) {
            control.post(
                    () -> {
                        if (!holding) {
                            opened.close();
                        }
                    });
        }

        @Override
        public void onMessage(Connection from, Message message) {
            if (message instanceof Message.Records records) {
                control.post(() -> handleRecords(records));
            } else if (message instanceof Message.ClockReading reading) {
                control.post(() -> handleClockReading(from, reading));
            }
        }

        // A daemon becomes a follower with its first reading, since the times of batches can't be
        // expressed by its clock before.
        private void handleClockReading(Connection from, Message.ClockReading reading) {
            if (!holding) {
                from.close();
                return;
            }
            if (followers.recordClockReading(from, reading)) {
                followerListeners.forEach(Runnable::run);
            }
        }

        private void handleRecords(Message.Records records) {
            Optional.ofNullable(receivers.get(new TopicPart(records.topic(), records.partition())))
                    .ifPresent(receiver -> records.records().forEach(receiver));
        }

        @Override
        public void onClosed(Connection closed) {
            control.post(() -> followers.remove(closed));
        }

        @Override
        public void onConnectFailed(TamaracktrackException failure) {
            // Called only on the side that opens a connection.
        }
    }
}
