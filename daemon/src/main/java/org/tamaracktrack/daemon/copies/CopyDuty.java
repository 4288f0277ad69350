package org.tamaracktrack.daemon.copies;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.tamaracktrack.core.copies.DemandBook;
import org.tamaracktrack.core.fleet.Fleet;
import org.tamaracktrack.core.lease.ConditionalLease;
import org.tamaracktrack.core.route.ServingConfiguration;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.TopicClient;
import org.tamaracktrack.link.topic.TopicPart;

/** The duty of placing copies, which one daemon has at a time. */
public final class CopyDuty {
    private final LeaseDriver lease;
    private final OrderGiver giver;
    private final ControlThread control;

    private CopyDuty(LeaseDriver lease, OrderGiver giver, ControlThread control) {
        this.lease = lease;
        this.giver = giver;
        this.control = control;
    }

    /**
     * Who takes part in the duty, and how.
     *
     * @param process names this run of the process
     * @param topic the topic of the lease (its partition 0) and of demand (1)
     * @param pauseMillis the pause between the orders of two holders
     * @param delayMillis what this process waits longer than others before it claims
     */
    public record Member(String process, String topic, long pauseMillis, long delayMillis) {}

    /**
     * Takes part in the duty.
     *
     * @param member who takes part
     * @param topics the store
     * @param orders calls engines
     * @param control the thread that everything here runs on
     * @param meter reads what this daemon saw of demand
     * @return the duty
     */
    public static CopyDuty start(
            Member member,
            TopicClient topics,
            EngineOrders orders,
            ControlThread control,
            Supplier<CompletableFuture<DemandBook.Seen>> meter) {
        Objects.requireNonNull(member, "member is null");
        ConditionalLease.Terms terms =
                ConditionalLease.Terms.of(member.pauseMillis(), member.delayMillis());
        LeaseDriver lease =
                LeaseDriver.start(
                        topics,
                        new TopicPart(member.topic(), 0),
                        control,
                        ConditionalLease.of(member.process(), terms));
        DemandBook demand = DemandBook.empty();
        DemandExchange.start(
                member.process(),
                topics,
                new TopicPart(member.topic(), 1),
                control,
                lease,
                demand,
                meter);
        return new CopyDuty(lease, OrderGiver.start(orders, lease, control, demand), control);
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
    public void fleet(Fleet fleet) {
        giver.fleet(fleet);
    }

    /** Gives the duty up, for a planned stop. */
    public void leave() {
        control.post(lease::leave);
    }
}
