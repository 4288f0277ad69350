package org.tamaracktrack.daemon.load;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.dispatch.LoadShare;
import org.tamaracktrack.core.dispatch.PeerLoadShares;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.fleet.TargetIncarnation;

/**
 * Tells the peers of this daemon what it has at each target, as soon as that changes, and hears the
 * same of them. A message holds all that its sender has, so one that is lost is made good by the
 * next. On the traffic thread.
 */
public final class LoadExchange {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.load");

    /** Changes that come close together go out in one message. */
    private static final long GATHER_MILLIS = 15;

    /** A message goes out no more often than this for each peer, so that many cost no more. */
    private static final long GATHER_MILLIS_EACH_PEER = 2;

    /** A daemon whose requests do not change says so this often, to show that it is there. */
    private static final long REPEAT_MILLIS = 450;

    private final String process;
    private final Datagrams datagrams;
    private final Timer timer;
    private final Supplier<Map<TargetIncarnation, LoadShare>> own;
    private final BiConsumer<TargetIncarnation, LoadShare> others;
    private final PeerLoadShares shares = PeerLoadShares.empty();
    private Set<InetSocketAddress> peers = Set.of();
    private boolean gathering;
    private boolean repeating;

    /** Runs tasks later, on the traffic thread. */
    public interface Timer {
        /**
         * Runs a task after a delay.
         *
         * @param delayMillis the delay
         * @param task the task
         */
        void after(long delayMillis, Runnable task);

        /**
         * Returns the monotonic time.
         *
         * @return milliseconds
         */
        long nowMillis();
    }

    private LoadExchange(
            String process,
            Datagrams datagrams,
            Timer timer,
            Supplier<Map<TargetIncarnation, LoadShare>> own,
            BiConsumer<TargetIncarnation, LoadShare> others) {
        this.process = process;
        this.datagrams = datagrams;
        this.timer = timer;
        this.own = own;
        this.others = others;
    }

    /**
     * Starts an exchange without peers.
     *
     * @param process names this run of the process
     * @param datagrams carries the messages
     * @param timer runs what comes later
     * @param own reads what this daemon has at targets
     * @param others takes what the peers have together at a target
     * @return the exchange
     */
    public static LoadExchange of(
            String process,
            Datagrams datagrams,
            Timer timer,
            Supplier<Map<TargetIncarnation, LoadShare>> own,
            BiConsumer<TargetIncarnation, LoadShare> others) {
        Objects.requireNonNull(process, "process is null");
        Objects.requireNonNull(datagrams, "datagrams is null");
        Objects.requireNonNull(timer, "timer is null");
        Objects.requireNonNull(own, "own is null");
        Objects.requireNonNull(others, "others is null");
        LoadExchange exchange = new LoadExchange(process, datagrams, timer, own, others);
        datagrams.onReceived(exchange::received);
        return exchange;
    }

    /**
     * Takes the peers.
     *
     * @param newer where they are reached
     */
    public void peers(List<InetSocketAddress> newer) {
        peers = new HashSet<>(newer);
        changed();
    }

    /** What this daemon has at some target has changed. */
    public void changed() {
        if (!gathering && !peers.isEmpty()) {
            gathering = true;
            timer.after(GATHER_MILLIS + GATHER_MILLIS_EACH_PEER * peers.size(), this::gathered);
        }
    }

    private void gathered() {
        gathering = false;
        boolean something = tell();
        if (something && !repeating) {
            repeating = true;
            timer.after(REPEAT_MILLIS, this::repeat);
        }
    }

    private void repeat() {
        repeating = false;
        changed();
    }

    private boolean tell() {
        Map<TargetIncarnation, LoadShare> shared = own.get();
        byte[] message = new LoadRecord(process, shared).encode();
        peers.forEach(peer -> datagrams.send(peer, message));
        return !shared.isEmpty();
    }

    private void received(InetSocketAddress from, byte[] message) {
        if (!peers.contains(from)) {
            return;
        }
        try {
            LoadRecord said = LoadRecord.decode(message);
            shares.update(said.process(), said.shares(), timer.nowMillis()).forEach(others);
        } catch (TamaracktrackException unreadable) {
            // A peer of another version; its requests show in the targets' own word.
            LOG.info("event=load-unreadable from=" + from);
        }
    }
}
