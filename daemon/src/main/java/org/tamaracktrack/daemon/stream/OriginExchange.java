package org.tamaracktrack.daemon.stream;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.tamaracktrack.core.dispatch.Peer;
import org.tamaracktrack.core.error.TamaracktrackException;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.SoftwareVersion;
import org.tamaracktrack.core.stream.OriginFinding;
import org.tamaracktrack.core.stream.OriginMember;
import org.tamaracktrack.core.stream.OriginMessage;
import org.tamaracktrack.core.stream.RegistryKnowledge;
import org.tamaracktrack.core.stream.StreamOrigin;
import org.tamaracktrack.daemon.load.Datagrams;
import org.tamaracktrack.daemon.load.LoadExchange;
import org.tamaracktrack.daemon.settings.IpAddresses;

/**
 * Remembers together with the other daemons at which software version each stream began. Confined
 * to the traffic thread.
 */
public final class OriginExchange {
    private static final Logger LOG = Logger.getLogger("tamaracktrack.streams");

    private final LoadExchange.Timer timer;
    private final OriginMember member;
    private volatile Map<ServiceId, Set<SoftwareVersion>> recentVersions = Map.of();
    private boolean ticking;

    private OriginExchange(
            String self,
            long firstNumber,
            Datagrams datagrams,
            OriginMember.Archive archive,
            LoadExchange.Timer timer) {
        this.timer = timer;
        this.member =
                OriginMember.of(
                        self,
                        firstNumber,
                        (address, message) ->
                                datagrams.send(
                                        IpAddresses.parse(address), OriginCodec.encode(message)),
                        archive);
    }

    /**
     * Starts an exchange.
     *
     * @param self the address of this daemon
     * @param firstNumber the number of the first question, so that questions of earlier runs at the
     *     same address have other numbers
     * @param datagrams sends and receives messages
     * @param archive keeps origins for the case that all daemons end
     * @param timer schedules tasks on the traffic thread
     * @return the exchange
     */
    public static OriginExchange start(
            String self,
            long firstNumber,
            Datagrams datagrams,
            OriginMember.Archive archive,
            LoadExchange.Timer timer) {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(datagrams, "datagrams is null");
        OriginExchange exchange = new OriginExchange(self, firstNumber, datagrams, archive, timer);
        datagrams.onReceived(exchange::receive);
        return exchange;
    }

    /**
     * Applies a list of daemons.
     *
     * @param daemons the daemons
     */
    public void updateDaemons(Collection<Peer> daemons) {
        member.updateDaemons(daemons, timer.nowMillis());
    }

    /**
     * Applies the known targets.
     *
     * @param fleet the targets
     * @param longestTimeoutMillis the longest timeout of all routes
     */
    public void update(FleetSnapshot fleet, long longestTimeoutMillis) {
        member.updateLongestTimeout(longestTimeoutMillis);
        member.updateFleet(fleet, timer.nowMillis());
        member.tick(timer.nowMillis());
        recentVersions = member.recentVersions();
    }

    /**
     * Applies the software versions that served before the start of this daemon.
     *
     * @param versions the versions by service
     */
    public void recordEarlierVersions(Map<ServiceId, Set<SoftwareVersion>> versions) {
        member.recordEarlierVersions(versions, timer.nowMillis());
        recentVersions = member.recentVersions();
    }

    /**
     * Applies origins from the archive, which daemons added before they ended.
     *
     * @param streams the streams
     */
    public void recordArchived(Collection<OriginMessage.Begun> streams) {
        member.recordArchived(streams, timer.nowMillis());
    }

    /**
     * Returns the recent software versions of each service. Safe for use by any thread.
     *
     * @return the versions by service, as of the last change of the known targets
     */
    public Map<ServiceId, Set<SoftwareVersion>> recentVersions() {
        return recentVersions;
    }

    /**
     * Records the origin of a stream, before its first event is forwarded.
     *
     * @param attempt the attempt that brings the first event
     * @param origin where it began
     */
    public void recordBegun(String attempt, StreamOrigin origin) {
        member.recordBegun(attempt, origin, timer.nowMillis());
        scheduleTick();
    }

    /**
     * Searches the origin of a stream that a caller takes up.
     *
     * @param attempt the attempt that brought its first event; empty when the caller names none
     * @param service the service at which it is to be continued
     * @param registry what this daemon knows of the registry, now and during the search
     * @param listener receives the result, possibly before this method returns
     */
    public void find(
            Optional<String> attempt,
            ServiceId service,
            RegistryKnowledge registry,
            Consumer<OriginFinding> listener) {
        member.find(attempt, service, registry, timer.nowMillis(), listener);
        scheduleTick();
    }

    private void scheduleTick() {
        if (!ticking && member.hasWork()) {
            ticking = true;
            timer.after(OriginMember.TICK_MILLIS, this::tick);
        }
    }

    private void tick() {
        ticking = false;
        member.tick(timer.nowMillis());
        scheduleTick();
    }

    private void receive(InetSocketAddress from, byte[] bytes) {
        try {
            OriginMessage message = OriginCodec.decode(bytes);
            member.receive(IpAddresses.format(from), message, timer.nowMillis());
        } catch (TamaracktrackException unreadable) {
            // The sender runs another version. Its streams stay unknown here.
            LOG.info("event=stream-message-unreadable from=" + from);
        }
    }
}
