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
 * Relays the models that engines hold from the holder of the lease, which sends the orders, to the
 * other daemons without delay. Without a connection to the holder a daemon uses the state of the
 * registry. Used on the control thread only.
 */
final class HoldingsExchange {
    /** How often a daemon checks whether the holder still sends; if not, it uses the registry. */
    private static final long CHECK_INTERVAL_MILLIS = 100;

    private final TopicPart part;
    private final RecordRelay relay;
    private final Consumer<FleetSnapshot> fleetListener;
    private final Map<TargetIncarnation, Map<ModelId, HeldModel>> published = new HashMap<>();
    private ResidentModels holdings = ResidentModels.empty();
    private FleetSnapshot registry = FleetSnapshot.empty();
    private boolean hasNewFollower;
    private boolean hasRegistry;
    private boolean usesHoldings;

    private HoldingsExchange(
            TopicPart part, RecordRelay relay, Consumer<FleetSnapshot> fleetListener) {
        this.part = part;
        this.relay = relay;
        this.fleetListener = fleetListener;
    }

    /**
     * Starts an exchange.
     *
     * @param part identifies the relayed records; nothing is ever appended to it
     * @param relay relays the records
     * @param control the thread that runs the exchange
     * @param fleetListener receives the targets whenever the models that they hold may have changed
     */
    static HoldingsExchange start(
            TopicPart part,
            RecordRelay relay,
            ControlThread control,
            Consumer<FleetSnapshot> fleetListener) {
        HoldingsExchange exchange = new HoldingsExchange(part, relay, fleetListener);
        control.post(
                () -> {
                    relay.onRecords(part, exchange.new HolderRecordReader());
                    relay.onFollower(() -> exchange.hasNewFollower = true);
                });
        control.every(CHECK_INTERVAL_MILLIS, exchange::check);
        return exchange;
    }

    private final class HolderRecordReader implements RecordRelay.Reader {
        @Override
        public void onBatch(RecordBatch batch, long wholeAtMillis) {
            batch.records().stream()
                    .flatMap(record -> DutyRecords.decodeHolding(record).stream())
                    .forEach(HoldingsExchange.this::applyHolding);
            notifyListener();
        }

        @Override
        public void onLost() {
            holdings = ResidentModels.empty();
            notifyListener();
        }
    }

    private void applyHolding(DutyRecords.Holding holding) {
        holdings = holdings.with(holding.target(), holding.models());
    }

    /** Applies the targets in the state of the registry. */
    void updateFleet(FleetSnapshot newer) {
        registry = newer;
        hasRegistry = true;
        notifyListener();
    }

    private void notifyListener() {
        usesHoldings = areHoldingsUsable();
        if (hasRegistry) {
            fleetListener.accept(usesHoldings ? holdings.applyTo(registry) : registry);
        }
    }

    // A holder that is frozen or partitioned sends nothing, so what it sent before becomes stale.
    private boolean areHoldingsUsable() {
        return relay.holding() || relay.connected();
    }

    private void check() {
        if (usesHoldings != areHoldingsUsable()) {
            notifyListener();
        }
    }

    /**
     * Publishes the state of engines that the holder knows. Only changes are relayed, except after
     * a daemon has connected, when the state of all engines is relayed.
     *
     * @param confirmed the models that engines hold, for engines whose state is confirmed
     */
    void publish(Map<TargetIncarnation, Map<ModelId, HeldModel>> confirmed) {
        List<DutyRecords.Holding> changes =
                confirmed.entrySet().stream()
                        .filter(
                                entry ->
                                        hasNewFollower
                                                || !entry.getValue()
                                                        .equals(published.get(entry.getKey())))
                        .map(
                                entry ->
                                        new DutyRecords.Holding(
                                                entry.getKey(), Optional.of(entry.getValue())))
                        .collect(Collectors.toList());
        published.keySet().stream()
                .filter(target -> !confirmed.containsKey(target))
                .map(target -> new DutyRecords.Holding(target, Optional.empty()))
                .forEach(changes::add);
        hasNewFollower = false;
        if (changes.isEmpty()) {
            return;
        }
        published.clear();
        published.putAll(confirmed);
        changes.forEach(this::applyHolding);
        relay.publish(
                part,
                new RecordBatch(
                        0,
                        changes.stream().map(DutyRecords::encode).collect(Collectors.toList()),
                        changes.size()));
        notifyListener();
    }
}
