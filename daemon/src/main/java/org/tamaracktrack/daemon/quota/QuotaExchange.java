package org.tamaracktrack.daemon.quota;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.account.Account;
import org.tamaracktrack.core.account.Quota;
import org.tamaracktrack.core.delay.SocketDelay;
import org.tamaracktrack.core.dispatch.Peer;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.knowledge.DualTimestamp;
import org.tamaracktrack.core.lease.FreezeDetector;
import org.tamaracktrack.core.quota.QuotaLimit;
import org.tamaracktrack.core.quota.QuotaMember;
import org.tamaracktrack.core.quota.QuotaMessage;
import org.tamaracktrack.daemon.load.Datagrams;
import org.tamaracktrack.daemon.load.LoadExchange;
import org.tamaracktrack.daemon.settings.IpAddresses;

/**
 * Enforces the quotas of client accounts together with the other daemons. Confined to the traffic
 * thread.
 */
public final class QuotaExchange {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.quota");

    private final Peer self;
    private final Datagrams datagrams;
    private final LoadExchange.Timer timer;
    private final LongSupplier dayMillis;
    private final SocketDelay socketDelay;
    private final FreezeDetector freezeDetector;
    private final QuotaMember member;
    private Optional<String> loggedCoordinator = Optional.empty();
    private boolean alone;
    private boolean active;
    private boolean tickScheduled;

    private QuotaExchange(
            Peer self,
            double tolerance,
            long firstNumber,
            Datagrams datagrams,
            LoadExchange.Timer timer,
            LongSupplier dayMillis,
            SocketDelay socketDelay) {
        this.self = self;
        this.datagrams = datagrams;
        this.timer = timer;
        this.dayMillis = dayMillis;
        this.socketDelay = socketDelay;
        this.freezeDetector = FreezeDetector.of(timer.nowMillis(), dayMillis.getAsLong());
        this.member = QuotaMember.of(self.address(), tolerance, firstNumber, this::send);
    }

    /**
     * Starts to take part in the quotas. Until the first list of daemons only a small part of each
     * quota is available.
     *
     * @param self this daemon
     * @param tolerance units of each quota that may be used in addition to its burst
     * @param firstNumber the number of the first message, so that messages of earlier runs at the
     *     same address have other numbers
     * @param datagrams sends and receives messages
     * @param timer schedules tasks on the traffic thread
     * @param dayMillis returns the time of day
     * @param socketDelay how long messages may have waited to be read
     * @return the exchange
     */
    public static QuotaExchange start(
            Peer self,
            double tolerance,
            long firstNumber,
            Datagrams datagrams,
            LoadExchange.Timer timer,
            LongSupplier dayMillis,
            SocketDelay socketDelay) {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(datagrams, "datagrams is null");
        QuotaExchange exchange =
                new QuotaExchange(
                        self, tolerance, firstNumber, datagrams, timer, dayMillis, socketDelay);
        datagrams.onReceived(exchange::receive);
        return exchange;
    }

    /**
     * Sets whether callers that are refused together are told different times to return.
     *
     * @param spreads whether they are; initially false
     */
    public void spreadReturns(boolean spreads) {
        member.spreadReturns(spreads);
    }

    /**
     * Starts or stops to follow a coordinator. Without quotas in the configuration, messages would
     * cost other daemons processor time for nothing.
     *
     * @param needed whether the configuration in force has quotas
     */
    public void activate(boolean needed) {
        boolean begins = needed && !active;
        active = needed;
        if (begins && !tickScheduled) {
            scheduleTick();
        }
    }

    /** Enforces the quotas without other daemons. */
    public void continueAlone() {
        alone = true;
    }

    /**
     * Applies a list of daemons that includes this one.
     *
     * @param daemons the daemons
     * @param atMillis when the list was valid, by the monotonic clock, in milliseconds
     */
    public void updateDaemons(Collection<Peer> daemons, long atMillis) {
        member.updateDaemons(daemons, atMillis);
    }

    /**
     * Asks whether the quota of an account has room for a request.
     *
     * @param account the account, which has a quota
     * @param version the version of the configuration that the account is from
     * @param statedTokens the tokens that the request states
     * @param listener receives the decision, possibly before this method returns
     */
    public void acquire(
            Account account,
            long version,
            OptionalLong statedTokens,
            Consumer<QuotaMember.Decision> listener) {
        Quota quota = account.quota().orElseThrow();
        QuotaLimit limit =
                new QuotaLimit(account.id(), version, quota.ratePerSecond(), quota.burst());
        detectFreeze();
        member.acquire(limit, quota.cost(statedTokens), timer.nowMillis(), listener);
    }

    /**
     * Returns the units of a request that certainly did not run.
     *
     * @param permit what the request had taken
     */
    public void giveBack(QuotaMember.Permit permit) {
        member.giveBack(permit);
    }

    /**
     * Returns this daemon's authority as a coordinator.
     *
     * @return the share of each quota that it may admit, from 0 to 1
     */
    public double authority() {
        return member.authority();
    }

    private void send(String address, QuotaMessage message) {
        datagrams.send(IpAddresses.parse(address), QuotaRecord.encode(message));
    }

    private void receive(InetSocketAddress from, byte[] bytes) {
        try {
            QuotaMessage message = QuotaRecord.decode(bytes);
            detectFreeze();
            long nowMillis = timer.nowMillis();
            long sentMillis =
                    nowMillis
                            - socketDelay.maxMillis(
                                    new DualTimestamp(nowMillis, dayMillis.getAsLong()));
            member.receive(IpAddresses.format(from), message, sentMillis, nowMillis);
        } catch (TamaracktrackException unreadable) {
            // The sender runs another version. Its requests stay undecided, or ours do.
            LOG.info("event=quota-message-unreadable from=" + from);
        }
    }

    private void scheduleTick() {
        tickScheduled = true;
        timer.after(
                QuotaMember.TICK_MILLIS,
                () -> {
                    tickScheduled = false;
                    if (active || member.isAsking()) {
                        // Scheduled first, so that a request that fails doesn't end the ticks.
                        scheduleTick();
                        tick();
                    }
                });
    }

    private void tick() {
        detectFreeze();
        long nowMillis = timer.nowMillis();
        if (alone) {
            member.updateDaemons(Set.of(self), nowMillis);
        }
        member.tick(nowMillis);
        if (!member.coordinator().equals(loggedCoordinator)) {
            loggedCoordinator = member.coordinator();
            LOG.info("event=quota-coordinator address=" + loggedCoordinator.orElse("-"));
        }
    }

    private void detectFreeze() {
        long nowMillis = timer.nowMillis();
        if (freezeDetector.detectFreeze(nowMillis, dayMillis.getAsLong())) {
            member.restartAfterFreeze(nowMillis);
            LOG.info("event=quota-restarted reason=clocks_diverged");
        }
    }
}
