package org.tamaracktrack.daemon.copies;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tamaracktrack.core.copies.DemandTracker;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.lease.ConditionalLease;
import org.tamaracktrack.core.route.ServingConfiguration;
import org.tamaracktrack.daemon.relay.RecordRelay;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.TopicClient;
import org.tamaracktrack.link.topic.TopicPart;

/** The duty of placing copies, which one daemon has at a time. */
public final class CopyDuty {
    private final LeaseDriver lease;
    private final OrderGiver giver;
    private final HoldingsExchange holdings;
    private final ControlThread control;

    private CopyDuty(
            LeaseDriver lease, OrderGiver giver, HoldingsExchange holdings, ControlThread control) {
        this.lease = lease;
        this.giver = giver;
        this.holdings = holdings;
        this.control = control;
    }

    /**
     * Who takes part in the duty, and how.
     *
     * @param process names this run of the process
     * @param topic the topic of the lease (its partition 0) and of demand (1); what engines hold is
     *     only passed on, under the number 2
     * @param pauseMillis the pause between the orders of two holders
     * @param delayMillis what this process waits longer than others before it claims
     */
    public record Member(String process, String topic, long pauseMillis, long delayMillis) {}

    /**
     * Takes part in the duty.
     *
     * @param member who takes part
     * @param topics the store
     * @param relay passes records between the holder of the lease and the other daemons
     * @param orders calls engines
     * @param control the thread that everything here runs on
     * @param meter reads what this daemon saw of demand
     * @param changed takes the targets with what they hold by the newest word
     * @return the duty
     */
    public static CopyDuty start(
            Member member,
            TopicClient topics,
            RecordRelay relay,
            EngineOrders orders,
            ControlThread control,
            Supplier<CompletableFuture<DemandTracker.DemandCounts>> meter,
            Consumer<FleetSnapshot> changed) {
        Objects.requireNonNull(member, "member is null");
        ConditionalLease.Terms terms =
                ConditionalLease.Terms.of(member.pauseMillis(), member.delayMillis());
        LeaseDriver lease =
                LeaseDriver.start(
                        topics,
                        new TopicPart(member.topic(), 0),
                        control,
                        ConditionalLease.of(
                                member.process(), relay.address(), relay::contact, terms),
                        relay);
        DemandTracker demand = DemandTracker.empty();
        DemandExchange.start(
                member.process(),
                topics,
                new TopicPart(member.topic(), 1),
                control,
                lease,
                relay,
                demand,
                meter);
        HoldingsExchange holdings =
                HoldingsExchange.start(new TopicPart(member.topic(), 2), relay, control, changed);
        OrderGiver giver =
                OrderGiver.start(orders, lease, control, demand, holdings, member.pauseMillis());
        return new CopyDuty(lease, giver, holdings, control);
    }

    /**
     * Takes a configuration in.
     *
     * @param configuration the configuration in force
     */
    public void configure(ServingConfiguration configuration) {
        giver.configure(configuration);
    }

    /**
     * Takes the targets in.
     *
     * @param fleet the targets known now
     */
    public void fleet(FleetSnapshot fleet) {
        giver.fleet(fleet);
        holdings.fleet(fleet);
    }

    /**
     * Gives the duty up, at the end of a planned stop.
     *
     * @return completed when that is written
     */
    public CompletableFuture<Void> leave() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        control.post(() -> lease.leave().thenAccept(done::complete));
        return done;
    }
}
