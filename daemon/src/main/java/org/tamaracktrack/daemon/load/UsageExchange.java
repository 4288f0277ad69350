package org.tamaracktrack.daemon.load;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.admission.ServiceUsage;
import org.tamaracktrack.core.admission.SharedAccountUsage;
import org.tamaracktrack.core.admission.UsageReport;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.daemon.settings.IpAddresses;

/**
 * Sends the usage of client accounts at this daemon to its peers when it changes, and receives
 * theirs. A message contains the complete usage of its sender, so the next message makes up for a
 * lost one. Confined to the traffic thread.
 */
public final class UsageExchange {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.load");

    private static final long NOT_DUE = Long.MAX_VALUE;

    /** Delay before a message is sent, so that changes close together are sent in one message. */
    private static final long BATCH_DELAY_MILLIS = 67;

    /** Period after which a usage is sent again, so that peers do not let it expire. */
    private static final long REFRESH_MILLIS = 450;

    /**
     * Rate of sending beyond which changes are sent later, at the latest with the next refresh. It
     * leaves most of a daemon's 15 KB/s of control traffic to the other kinds of message.
     */
    private static final int BYTES_PER_MILLI = 6;

    private final String process;
    private final Datagrams datagrams;
    private final LoadExchange.Timer timer;
    private final SharedAccountUsage usage;
    private final BooleanSupplier sends;
    private Set<InetSocketAddress> peers = Set.of();
    private long sequence;
    private int lastMessageBytes;
    private boolean peersKnowUsage;
    private long sentAtMillis;
    private long dueAtMillis = NOT_DUE;

    private UsageExchange(
            String process,
            Datagrams datagrams,
            LoadExchange.Timer timer,
            SharedAccountUsage usage,
            BooleanSupplier sends) {
        this.process = process;
        this.datagrams = datagrams;
        this.timer = timer;
        this.usage = usage;
        this.sends = sends;
        this.sentAtMillis = timer.nowMillis();
    }

    /**
     * Creates an exchange without peers and starts to receive messages.
     *
     * @param process the name of this run of the process
     * @param datagrams sends and receives the messages
     * @param timer schedules messages
     * @param usage the usage of client accounts as this daemon knows it
     * @param sends returns whether messages are sent at present
     * @return the exchange
     */
    public static UsageExchange of(
            String process,
            Datagrams datagrams,
            LoadExchange.Timer timer,
            SharedAccountUsage usage,
            BooleanSupplier sends) {
        Objects.requireNonNull(process, "process is null");
        Objects.requireNonNull(datagrams, "datagrams is null");
        Objects.requireNonNull(timer, "timer is null");
        Objects.requireNonNull(usage, "usage is null");
        Objects.requireNonNull(sends, "sends is null");
        UsageExchange exchange = new UsageExchange(process, datagrams, timer, usage, sends);
        datagrams.onReceived(exchange::receive);
        return exchange;
    }

    /**
     * Replaces the peers and schedules a message to them.
     *
     * @param newPeers the addresses of the peers
     */
    public void updatePeers(List<InetSocketAddress> newPeers) {
        peers = Set.copyOf(newPeers);
        usage.retainPeers(peers.stream().map(IpAddresses::format).collect(Collectors.toSet()));
        onUsageChanged();
    }

    /** Schedules a message, because the usage of a client account at this daemon has changed. */
    public void onUsageChanged() {
        long nowMillis = timer.nowMillis();
        schedule(Math.max(nowMillis + BATCH_DELAY_MILLIS, sentAtMillis + shortestIntervalMillis()));
    }

    private long shortestIntervalMillis() {
        return Math.min(REFRESH_MILLIS, (long) lastMessageBytes * peers.size() / BYTES_PER_MILLI);
    }

    private void schedule(long atMillis) {
        if (!peers.isEmpty() && atMillis < dueAtMillis) {
            dueAtMillis = atMillis;
            timer.after(atMillis - timer.nowMillis(), () -> sendIfDue(atMillis));
        }
    }

    // Timers can't be cancelled; those that an earlier one has replaced do nothing.
    private void sendIfDue(long atMillis) {
        if (atMillis != dueAtMillis) {
            return;
        }
        dueAtMillis = NOT_DUE;
        Map<ServiceId, ServiceUsage> current = usage.ownUsage();
        if ((peersKnowUsage || !current.isEmpty()) && sends.getAsBoolean()) {
            send(current);
        }
        // While nothing may be sent, this finds out that sending has been switched on.
        if (!current.isEmpty()) {
            schedule(timer.nowMillis() + REFRESH_MILLIS);
        }
    }

    private void send(Map<ServiceId, ServiceUsage> current) {
        sequence++;
        byte[] message = UsageRecord.encode(new UsageReport(process, sequence, current));
        sentAtMillis = timer.nowMillis();
        lastMessageBytes = message.length;
        peersKnowUsage = !current.isEmpty();
        peers.forEach(peer -> datagrams.send(peer, message));
    }

    private void receive(InetSocketAddress from, byte[] message) {
        if (!peers.contains(from)) {
            return;
        }
        try {
            usage.recordReport(
                    IpAddresses.format(from), UsageRecord.decode(message), timer.nowMillis());
        } catch (TamaracktrackException unreadable) {
            // The peer runs another version; this daemon goes on with what it knows itself.
            LOG.info("event=usage-unreadable from=" + from);
        }
    }
}
