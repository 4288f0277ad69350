package org.tamaracktrack.daemon.copies;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tamaracktrack.core.copies.DemandTracker;
import org.tamaracktrack.core.copies.EngineWorkFactors;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.lease.ConditionalLease;
import org.tamaracktrack.core.route.ServingConfiguration;
import org.tamaracktrack.daemon.relay.RecordRelay;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.TopicClient;
import org.tamaracktrack.link.topic.TopicPart;

/**
 * Runs the duty of placing model replicas on engines, which one daemon at a time holds by a lease.
 */
public final class CopyDuty {
    private final LeaseDriver lease;
    private final OrderGiver orderGiver;
    private final HoldingsExchange holdings;
    private final ControlThread control;

    private CopyDuty(
            LeaseDriver lease,
            OrderGiver orderGiver,
            HoldingsExchange holdings,
            ControlThread control) {
        this.lease = lease;
        this.orderGiver = orderGiver;
        this.holdings = holdings;
        this.control = control;
    }

    /**
     * Describes how a process takes part in the duty.
     *
     * @param process the unique name of this run of the process
     * @param topic the topic of the lease (partition 0) and of demand (partition 1); the models
     *     that engines hold are relayed as partition 2 and never stored
     * @param handoverPauseMillis the pause between the last order of one holder and the first order
     *     of the next, in milliseconds
     * @param claimDelayMillis how much longer than other processes this process waits before it
     *     claims the lease, in milliseconds
     */
    public record Member(
            String process, String topic, long handoverPauseMillis, long claimDelayMillis) {}

    /**
     * Starts to take part in the duty.
     *
     * @param member describes this process
     * @param topics the client of the store
     * @param relay passes records between the holder of the lease and the other daemons
     * @param orders sends orders to engines
     * @param control the thread that runs the duty
     * @param demandCounts returns the request counts of this daemon since the previous call
     * @param workFactors returns by which factor work takes longer than usual at each target that
     *     reports it to this daemon
     * @param fleetListener receives the targets with the most recent information on the models that
     *     they hold, on the control thread
     * @return the duty
     */
    public static CopyDuty start(
            Member member,
            TopicClient topics,
            RecordRelay relay,
            EngineOrders orders,
            ControlThread control,
            Supplier<CompletableFuture<DemandTracker.DemandCounts>> demandCounts,
            Supplier<CompletableFuture<Map<TargetIncarnation, Double>>> workFactors,
            Consumer<FleetSnapshot> fleetListener) {
        Objects.requireNonNull(member, "member is null");
        ConditionalLease.Terms terms =
                ConditionalLease.Terms.of(member.handoverPauseMillis(), member.claimDelayMillis());
        LeaseDriver lease =
                LeaseDriver.start(
                        topics,
                        new TopicPart(member.topic(), 0),
                        control,
                        ConditionalLease.of(
                                member.process(), relay.address(), relay::contact, terms),
                        relay);
        DemandTracker demand = DemandTracker.empty();
        EngineWorkFactors engineWorkFactors = EngineWorkFactors.empty();
        DemandExchange.start(
                member.process(),
                topics,
                new TopicPart(member.topic(), 1),
                control,
                lease,
                relay,
                demand,
                engineWorkFactors,
                new DemandExchange.Source(demandCounts, workFactors));
        HoldingsExchange holdings =
                HoldingsExchange.start(
                        new TopicPart(member.topic(), 2), relay, control, fleetListener);
        OrderGiver orderGiver =
                OrderGiver.start(
                        orders,
                        lease,
                        control,
                        new OrderGiver.Observations(demand, engineWorkFactors),
                        holdings,
                        member.handoverPauseMillis());
        return new CopyDuty(lease, orderGiver, holdings, control);
    }

    /**
     * Applies a configuration. Called on the control thread.
     *
     * @param configuration the configuration in force
     */
    public void configure(ServingConfiguration configuration) {
        orderGiver.configure(configuration);
    }

    /**
     * Sets whether admission control is on for all services, so that models of patient requests do
     * not displace those that urgent requests use. It is on as well for services with an engine
     * that reports its speed. Called on the control thread.
     *
     * @param isOn whether it is on; initially false
     */
    public void setAdmissionControl(boolean isOn) {
        orderGiver.setAdmissionControl(isOn);
    }

    /**
     * Applies a new set of targets. Called on the control thread.
     *
     * @param fleet the known targets
     */
    public void updateFleet(FleetSnapshot fleet) {
        orderGiver.updateFleet(fleet);
        holdings.updateFleet(fleet);
    }

    /**
     * Releases the lease at the end of a planned stop. May be called by any thread.
     *
     * @return a future that completes when the release is written, or nothing has to be written
     */
    public CompletableFuture<Void> leave() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        control.post(() -> lease.leave().thenAccept(done::complete));
        return done;
    }
}
