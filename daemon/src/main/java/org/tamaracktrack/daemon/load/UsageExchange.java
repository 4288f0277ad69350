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

/**
 * Sends the usage of client accounts at this daemon to its peers when it changes, and receives
 * theirs. A message contains the complete usage of its sender, so the next message makes up for a
 * lost one. Confined to the traffic thread.
 */
public final class UsageExchange {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.load");

    /** Shortest delay before a message is sent, so that changes are sent together. */
    private static final long BATCH_DELAY_MILLIS = 67;

    /** Period after which a usage is sent again, so that peers do not let it expire. */
    private static final long REFRESH_MILLIS = 450;

    /**
     * Rate at which the delay between messages grows with their size and the number of peers. It
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
    private boolean sendScheduled;
    private boolean refreshScheduled;

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
        usage.retainPeers(
                peers.stream().map(InetSocketAddress::toString).collect(Collectors.toSet()));
        onUsageChanged();
    }

    /** Schedules a message, because the usage of a client account at this daemon has changed. */
    public void onUsageChanged() {
        if (!sendScheduled && !peers.isEmpty()) {
            sendScheduled = true;
            timer.after(delayMillis(), this::sendAndScheduleRefresh);
        }
    }

    private long delayMillis() {
        long bytes = (long) lastMessageBytes * peers.size();
        return Math.min(REFRESH_MILLIS, Math.max(BATCH_DELAY_MILLIS, bytes / BYTES_PER_MILLI));
    }

    // The period also finds out that sending has been switched on while long requests run.
    private void sendAndScheduleRefresh() {
        sendScheduled = false;
        Map<ServiceId, ServiceUsage> current = usage.ownUsage();
        if ((peersKnowUsage || !current.isEmpty()) && sends.getAsBoolean()) {
            send(current);
        }
        if (!current.isEmpty() && !refreshScheduled) {
            refreshScheduled = true;
            timer.after(REFRESH_MILLIS - BATCH_DELAY_MILLIS, this::refresh);
        }
    }

    private void refresh() {
        refreshScheduled = false;
        onUsageChanged();
    }

    private void send(Map<ServiceId, ServiceUsage> current) {
        sequence++;
        byte[] message = UsageRecord.encode(new UsageReport(process, sequence, current));
        lastMessageBytes = message.length;
        peersKnowUsage = !current.isEmpty();
        peers.forEach(peer -> datagrams.send(peer, message));
    }

    private void receive(InetSocketAddress from, byte[] message) {
        if (!peers.contains(from)) {
            return;
        }
        try {
            usage.recordReport(from.toString(), UsageRecord.decode(message), timer.nowMillis());
        } catch (TamaracktrackException unreadable) {
            // The peer runs another version; this daemon goes on with what it knows itself.
            LOG.info("event=usage-unreadable from=" + from);
        }
    }
}
