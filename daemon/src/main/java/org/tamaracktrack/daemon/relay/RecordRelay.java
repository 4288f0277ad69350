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
import org.tamaracktrack.core.knowledge.Moment;
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
 * Passes what the holder of a lease reads of the store on to the other daemons, and what they have
 * to tell to the holder. The store then answers the calls of one daemon instead of those of all.
 *
 * <p>Nothing rests on it: records carry their offsets, so that a reader sees a gap and reads the
 * store itself, as it does when it hears nothing for {@link #STALE_MILLIS}. Used on the control
 * thread, but where it says otherwise.
 */
public final class RecordRelay implements AutoCloseable {
    /**
     * Who knows nothing younger than this of the holder reads the store itself, in milliseconds.
     * The holder's reads end at least every 0.9 s; a configuration has to be in force two seconds
     * after it was published, also when the holder is frozen.
     */
    public static final long STALE_MILLIS = 1_200;

    private static final Logger LOG = Logger.getLogger("tamaracktrack.relay");

    /** The pause before the holder is called again, in milliseconds. */
    private static final long RETRY_MILLIS = 700;

    /**
     * A record is some hundred bytes, and a daemon that takes nothing for a while is better served
     * by the store.
     */
    private static final XnioFrameTransport.ConnectionOptions FORMAT =
            new XnioFrameTransport.ConnectionOptions(
                    new RecordsCodec(), 4 * 1024, RelayLimits.CONNECTION_BYTES);

    /** How often a daemon tells the holder what its clock shows, in milliseconds. */
    private static final long READING_EVERY_MILLIS = 1_000;

    /** A time that lies this much ahead shows that this process stood still, in milliseconds. */
    private static final long AHEAD_MILLIS = 50;

    private static final int SECRET_BITS = 128;
    private static final int HEXADECIMAL = 16;

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
    private Optional<Contact> refusedBy = Optional.empty();
    private long nextConnectMillis;

    /** Hears of what the holder read, on the control thread. */
    public interface Reader {
        /**
         * The holder read records.
         *
         * @param batch the records; none when there was nothing new
         * @param wholeAtMillis the time, by the steady clock of this process, before which nothing
         *     was written beyond the records
         */
        void onBatch(RecordBatch batch, long wholeAtMillis);

        /** The connection to the holder is lost: what comes next has to be read of the store. */
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
     * Starts a relay.
     *
     * @param worker the threads of its connections
     * @param control the thread that it belongs to
     * @param address where other daemons reach this one; empty when they can't
     * @param era the era of the store, which other daemons may hear of first
     * @param limits how much it may have under way to other daemons
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
     * @return the address; empty when they can't, or any free port is used
     */
    public Optional<String> address() {
        return address.filter(fixed -> fixed.getPort() != 0).map(IpAddresses::format);
    }

    /**
     * Returns where other daemons reach this one, and listens there from the first call on. Most
     * daemons never hold the lease, and a start has no processor time to spare.
     *
     * @return what the lease's records say of it; empty when the address can't be used
     */
    public Optional<Contact> contact() {
        if (contact.isEmpty() && address.isPresent()) {
            contact = listen(address.get());
        }
        return contact;
    }

    private Optional<Contact> listen(InetSocketAddress wanted) {
        String secret = new BigInteger(SECRET_BITS, new SecureRandom()).toString(HEXADECIMAL);
        FrameTransport listening = XnioFrameTransport.sharing(secret, worker, FORMAT);
        try {
            InetSocketAddress used = listening.listen(wanted, new FollowerHandler());
            transport = Optional.of(listening);
            return Optional.of(new Contact(IpAddresses.format(used), secret));
        } catch (TamaracktrackException unusable) {
            // Without it every daemon reads the store itself; the next record tries again.
            LOG.error("event=relay-not-listening problem=\"" + unusable.getMessage() + '"');
            return Optional.empty();
        }
    }

    /**
     * Names who hears of the records of a partition.
     *
     * @param part the partition
     * @param reader hears of them
     */
    public void onRecords(TopicPart part, Reader reader) {
        readers.put(part, reader);
    }

    /**
     * Names who takes what other daemons tell the holder.
     *
     * @param part the partition that they would append it to
     * @param receiver takes each record
     */
    public void onTold(TopicPart part, Consumer<byte[]> receiver) {
        receivers.put(part, receiver);
    }

    /**
     * Names who hears that another daemon has come, which knows nothing yet.
     *
     * @param listener hears of it
     */
    public void onFollower(Runnable listener) {
        followerListeners.add(listener);
    }

    /**
     * Says whether this daemon holds the lease, and who else does.
     *
     * @param self whether it holds
     * @param other where another holder is reached
     */
    public void holder(boolean self, Optional<Contact> other) {
        if (holding && !self) {
            followers.close();
        }
        holding = self;
        Optional<Contact> wanted = self ? Optional.empty() : other;
        if (link.isPresent() && !wanted.equals(link.map(Link::contact))) {
            link.get().end();
            link = Optional.empty();
            nextConnectMillis = 0;
            readers.values().forEach(Reader::onLost);
        }
        if (link.isEmpty() && ControlThread.nowMillis() >= nextConnectMillis) {
            // A holder that did not prove the secret is another process at the same address, as
            // after a restart of all; asked again and again, it and this one lose the processor
            // time that their callers need.
            wanted.filter(holder -> !refusedBy.equals(Optional.of(holder)))
                    .ifPresent(this::connect);
        }
    }

    /**
     * Returns whether this daemon holds the lease, so that others rely on what it reads. May be
     * asked by any thread.
     *
     * @return true when it does
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
            // Without a connection every read is of the store.
            LOG.warn("event=relay-contact-unreadable address=" + holder.address());
        }
    }

    /**
     * Passes on what holds now, if this daemon holds the lease. It goes out whole whatever its
     * size, since most of it stands nowhere else.
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
     * Passes on what was read of the store, if this daemon holds the lease. Where the link has no
     * room for the records, the other daemons hear only that there is something to read.
     *
     * @param part the partition
     * @param batch the records; none when a read found nothing new
     * @param wholeAtMillis the time before which nothing was written beyond the records
     */
    public void publish(TopicPart part, RecordBatch batch, long wholeAtMillis) {
        if (holding) {
            followers.sendIfRoom(part, batch, wholeAtMillis);
        }
    }

    /**
     * Returns how many batches other daemons were told of without their records. May be asked by
     * any thread.
     *
     * @return the number, counted for each daemon
     */
    public long notPassedOn() {
        return followers.notPassedOn();
    }

    /**
     * Returns whether this daemon hears of the holder. May be asked by any thread.
     *
     * @return true when it heard something of late
     */
    public boolean connected() {
        return link.filter(Link::live).isPresent();
    }

    /**
     * Tells the holder something.
     *
     * @param part the partition that it would be appended to
     * @param record its bytes
     * @return false when the holder can't be reached, so that it has to be appended
     */
    public boolean tell(TopicPart part, byte[] record) {
        return link.filter(Link::live)
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

    /** The connection of this daemon to the holder. Its state is the control thread's. */
    private final class Link implements ConnectionHandler {
        private final Contact contact;
        private Optional<Connection> connection = Optional.empty();
        private volatile long heardAtMillis = Long.MIN_VALUE / 2;
        private Moment readingAt = Moment.never();
        private boolean ended;

        private Link(Contact contact) {
            this.contact = contact;
        }

        private Contact contact() {
            return contact;
        }

        private Optional<Connection> connection() {
            return connection;
        }

        // A holder that is frozen or cut off keeps the connection open and says nothing; what is
        // told to it then would be lost.
        private boolean live() {
            return ControlThread.nowMillis() - heardAtMillis <= STALE_MILLIS;
        }

        private void end() {
            ended = true;
            connection.ifPresent(Connection::close);
        }

        @Override
        public void onOpen(Connection opened) {
            control.post(
                    () -> {
                        if (ended) {
                            opened.close();
                            return;
                        }
                        connection = Optional.of(opened);
                        tellClock();
                        LOG.info("event=relay-opened holder=" + contact.address());
                    });
        }

        @Override
        public void onMessage(Connection from, Message message) {
            if (message instanceof Message.Records records) {
                control.post(() -> heard(records));
            }
        }

        private void heard(Message.Records records) {
            if (ended) {
                return;
            }
            heardAtMillis = ControlThread.nowMillis();
            if (now().apart(readingAt)) {
                // What lies in the socket is dated by a clock that has stood still since.
                connection.ifPresent(Connection::close);
                lost("stood_still");
                return;
            }
            boolean ahead = records.wholeAtMillis() > heardAtMillis + AHEAD_MILLIS;
            long wholeAtMillis = ahead ? Message.Records.UNKNOWN_MILLIS : records.wholeAtMillis();
            if (ahead || heardAtMillis - readingAt.steadyMillis() >= READING_EVERY_MILLIS) {
                tellClock();
            }
            // Offsets of another era stand for other records.
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

        private void tellClock() {
            readingAt = now();
            connection.ifPresent(
                    opened -> opened.send(new Message.ClockReading(readingAt.steadyMillis())));
        }

        private Moment now() {
            return new Moment(ControlThread.nowMillis(), System.currentTimeMillis());
        }

        @Override
        public void onClosed(Connection closed) {
            control.post(() -> lost("closed"));
        }

        @Override
        public void onConnectFailed(TamaracktrackException failure) {
            control.post(
                    () -> {
                        if (failure.code() == ErrorCode.PEER_REFUSED) {
                            refusedBy = Optional.of(contact);
                        }
                        lost(failure.code().toString());
                    });
        }

        private void lost(String cause) {
            if (ended) {
                return;
            }
            ended = true;
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
                control.post(() -> told(records));
            } else if (message instanceof Message.ClockReading reading) {
                control.post(() -> read(from, reading));
            }
        }

        // The first reading makes a follower: nothing that is passed on before it could be dated.
        private void read(Connection from, Message.ClockReading reading) {
            if (!holding) {
                from.close();
                return;
            }
            if (followers.read(from, reading)) {
                followerListeners.forEach(Runnable::run);
            }
        }

        private void told(Message.Records records) {
            Optional.ofNullable(receivers.get(new TopicPart(records.topic(), records.partition())))
                    .ifPresent(receiver -> records.records().forEach(receiver));
        }

        @Override
        public void onClosed(Connection closed) {
            control.post(() -> followers.remove(closed));
        }

        @Override
        public void onConnectFailed(TamaracktrackException failure) {
            // Only the side that opens a connection hears of this.
        }
    }
}
