package org.tamaracktrack.daemon.copies;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.tamaracktrack.core.fleet.FleetSnapshot;
import org.tamaracktrack.core.fleet.HeldModel;
import org.tamaracktrack.core.fleet.ResidentModels;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.ModelId;
import org.tamaracktrack.daemon.relay.RecordRelay;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.RecordBatch;
import org.tamaracktrack.link.topic.TopicPart;

/**
 * Brings what the giver of orders knows of engines to every daemon, as soon as it knows it; without
 * a connection to the giver the registry's word holds. On the control thread.
 */
final class HoldingsExchange {
    /** How soon a daemon goes back to the registry once it hears nothing of the giver. */
    private static final long CHECK_EVERY_MILLIS = 100;

    private final TopicPart part;
    private final RecordRelay relay;
    private final Consumer<FleetSnapshot> changed;
    private final Map<TargetIncarnation, Map<ModelId, HeldModel>> published = new HashMap<>();
    private ResidentModels holdings = ResidentModels.empty();
    private FleetSnapshot registry = FleetSnapshot.empty();
    private boolean newcomer;
    private boolean known;
    private boolean used;

    private HoldingsExchange(TopicPart part, RecordRelay relay, Consumer<FleetSnapshot> changed) {
        this.part = part;
        this.relay = relay;
        this.changed = changed;
    }

    /**
     * Starts an exchange.
     *
     * @param part names what is passed on; nothing is ever appended to it
     * @param relay passes it on
     * @param control the thread that it belongs to
     * @param changed takes the targets whenever what they hold has changed
     */
    static HoldingsExchange start(
            TopicPart part,
            RecordRelay relay,
            ControlThread control,
            Consumer<FleetSnapshot> changed) {
        HoldingsExchange exchange = new HoldingsExchange(part, relay, changed);
        control.post(
                () -> {
                    relay.onRecords(part, exchange.new FromGiver());
                    relay.onFollower(() -> exchange.newcomer = true);
                });
        control.every(CHECK_EVERY_MILLIS, exchange::check);
        return exchange;
    }

    private final class FromGiver implements RecordRelay.Reader {
        @Override
        public void onBatch(RecordBatch batch, long wholeAtMillis) {
            batch.records().stream()
                    .flatMap(record -> DutyRecords.holding(record).stream())
                    .forEach(HoldingsExchange.this::learn);
            tell();
        }

        @Override
        public void onLost() {
            holdings = ResidentModels.empty();
            tell();
        }
    }

    private void learn(DutyRecords.Holding holding) {
        holdings = holdings.with(holding.target(), holding.models());
    }

    /** Takes the targets in as the registry has them. */
    void fleet(FleetSnapshot newer) {
        registry = newer;
        known = true;
        tell();
    }

    private void tell() {
        used = usable();
        if (known) {
            changed.accept(used ? holdings.applyTo(registry) : registry);
        }
    }

    // A giver that is frozen or cut off says nothing, and what it said becomes old.
    private boolean usable() {
        return relay.holding() || relay.connected();
    }

    private void check() {
        if (used != usable()) {
            tell();
        }
    }

    /**
     * The giver of orders says what it knows; only what changed is passed on.
     *
     * @param sure what engines hold, of those that it is sure of
     */
    void publish(Map<TargetIncarnation, Map<ModelId, HeldModel>> sure) {
        List<DutyRecords.Holding> news =
                sure.entrySet().stream()
                        .filter(
                                entry ->
                                        newcomer
                                                || !entry.getValue()
                                                        .equals(published.get(entry.getKey())))
                        .map(
                                entry ->
                                        new DutyRecords.Holding(
                                                entry.getKey(), Optional.of(entry.getValue())))
                        .collect(Collectors.toList());
        published.keySet().stream()
                .filter(target -> !sure.containsKey(target))
                .map(target -> new DutyRecords.Holding(target, Optional.empty()))
                .forEach(news::add);
        newcomer = false;
        if (news.isEmpty()) {
            return;
        }
        published.clear();
        published.putAll(sure);
        news.forEach(this::learn);
        relay.publish(
                part,
                new RecordBatch(
                        0,
                        news.stream().map(DutyRecords::encode).collect(Collectors.toList()),
                        news.size()));
        tell();
    }
}
