package org.tamaracktrack.core.copies;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.tamaracktrack.core.fleet.HeldModel;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.id.AdapterId;
import org.tamaracktrack.core.id.DataCentreId;
import org.tamaracktrack.core.id.ModelId;

/**
 * What the giver of orders knows of one engine: its last report and the orders since. Owned by the
 * control thread.
 *
 * <p>An order without an answer may be carried out seconds later. Every order therefore names how
 * many orders the engine must have accepted before, so that of two orders that name the same count
 * at most one is ever carried out, and each was checked to fit by itself.
 */
public final class EngineBook {
    /** Reports lag by some hundred milliseconds; an older one can't contradict an answer. */
    private static final long REPORT_LAG_MILLIS = 400;

    /** An engine that nothing is ordered of is asked this often how it fares. */
    private static final long IDLE_REPORT_MILLIS = 1_000;

    /** Idle engines are asked each second; two reports may fail to come. */
    private static final long SURE_MILLIS = 3 * IDLE_REPORT_MILLIS;

    /**
     * Room made for a model that is still not being loaded at this many idle reports is for others.
     * The load is tried right after the first; it can turn out impossible, because an order without
     * an answer was carried out late or the weight store is to be spared. Reserved for good, the
     * engine would get no order any more.
     */
    private static final int MOST_IDLE_REPORTS = 2;

    /** How often a load is tried while the engine makes room for it; it loads in 300 ms or more. */
    private static final long TRY_AGAIN_MILLIS = 150;

    private final DataCentreId dataCentre;
    private Optional<EngineReport> report = Optional.empty();
    private Map<ModelId, Set<AdapterId>> held = new HashMap<>();
    private final Map<ModelId, Long> firstSeenMillis = new HashMap<>();
    private final Map<ModelNeed, Long> adapterLoadedMillis = new HashMap<>();
    private Optional<ModelId> arriving = Optional.empty();
    private Optional<ModelId> departing = Optional.empty();
    private Optional<ModelId> successor = Optional.empty();
    private Optional<EngineOrder> sent = Optional.empty();
    private boolean busy;
    private boolean doubtful = true;
    private long orders;
    private long successorTriedMillis = Long.MIN_VALUE / 2;
    private int idleReports;
    private long reportedAtMillis = Long.MIN_VALUE / 2;
    private long acceptedAtMillis = Long.MIN_VALUE / 2;

    private EngineBook(DataCentreId dataCentre) {
        this.dataCentre = dataCentre;
    }

    /**
     * Returns a book about which nothing is known.
     *
     * @param dataCentre where the engine stands
     * @return the book
     */
    public static EngineBook of(DataCentreId dataCentre) {
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        return new EngineBook(dataCentre);
    }

    /**
     * Returns where the engine stands.
     *
     * @return its data centre
     */
    public DataCentreId dataCentre() {
        return dataCentre;
    }

    /**
     * Takes a report in.
     *
     * @param newer the report
     * @param askedAtMillis when it was asked for
     */
    public void report(EngineReport newer, long askedAtMillis) {
        if (sent.isPresent() || askedAtMillis - acceptedAtMillis < REPORT_LAG_MILLIS) {
            return;
        }
        boolean first = report.isEmpty();
        report = Optional.of(newer);
        reportedAtMillis = askedAtMillis;
        firstSeenMillis.keySet().retainAll(newer.models().keySet());
        newer.models()
                .keySet()
                .forEach(
                        model ->
                                firstSeenMillis.putIfAbsent(
                                        model, first ? Long.MIN_VALUE / 2 : askedAtMillis));
        orders = newer.orders();
        busy = newer.busy();
        doubtful = false;
        held = new HashMap<>();
        newer.models().values().forEach(this::hold);
        newer.coming().forEach(this::come);
        if (!busy) {
            arriving = Optional.empty();
            departing = Optional.empty();
            idleReports++;
        }
        if (idleReports >= MOST_IDLE_REPORTS) {
            successor = Optional.empty();
        }
        departing.ifPresent(held::remove);
    }

    private void hold(HeldModel model) {
        held.put(model.model(), new HashSet<>(model.adapters()));
    }

    private void come(ModelNeed coming) {
        coming.adapter()
                .ifPresent(
                        adapter ->
                                held.computeIfPresent(
                                        coming.model(),
                                        (model, adapters) -> {
                                            adapters.add(adapter);
                                            return adapters;
                                        }));
    }

    /**
     * An order is about to be sent.
     *
     * @param order the order
     * @return the number of orders that the engine must have accepted before
     */
    public long sending(EngineOrder order) {
        sent = Optional.of(order);
        if (order.ofModel()) {
            successor = Optional.empty();
        }
        return orders;
    }

    /**
     * The order being sent makes room for a model, which from now on counts as coming: planned anew
     * in the meantime, several engines would make room for the same one.
     *
     * @param model the model to be loaded next
     */
    public void makingRoomFor(ModelId model) {
        successor = Optional.of(model);
        successorTriedMillis = Long.MIN_VALUE / 2;
        idleReports = 0;
    }

    /**
     * Returns the model that room is made for.
     *
     * @return the model
     */
    public Optional<ModelId> successor() {
        return successor;
    }

    /**
     * The engine accepted the order that was sent.
     *
     * @param nowMillis the monotonic time
     */
    public void accepted(long nowMillis) {
        sent.ifPresent(order -> apply(order, nowMillis));
        sent = Optional.empty();
    }

    private void apply(EngineOrder order, long nowMillis) {
        orders++;
        acceptedAtMillis = nowMillis;
        if (order.adapter().isPresent()) {
            Set<AdapterId> adapters = held.computeIfAbsent(order.model(), model -> new HashSet<>());
            if (order.load()) {
                adapters.add(order.adapter().get());
                adapterLoadedMillis.put(new ModelNeed(order.model(), order.adapter()), nowMillis);
            } else {
                adapters.remove(order.adapter().get());
                adapterLoadedMillis.remove(new ModelNeed(order.model(), order.adapter()));
            }
            return;
        }
        busy = true;
        if (order.load()) {
            arriving = Optional.of(order.model());
        } else {
            departing = Optional.of(order.model());
            held.remove(order.model());
        }
    }

    /** The order was not accepted, or its outcome is not known: a report has to tell. */
    public void unsettled() {
        sent = Optional.empty();
        successor = Optional.empty();
        doubtful = true;
    }

    /**
     * Returns whether a report is needed before or while orders are given.
     *
     * @param nowMillis the monotonic time
     * @return true when the engine should be asked
     */
    public boolean wantsReport(long nowMillis) {
        boolean old = nowMillis - reportedAtMillis >= IDLE_REPORT_MILLIS;
        return sent.isEmpty()
                && (doubtful || busy || old)
                && nowMillis - acceptedAtMillis >= REPORT_LAG_MILLIS;
    }

    /**
     * Returns whether the load that room was made for may be tried. An unload is over as soon as
     * the last request on it ends, up to half a second before a report says so; so the load is
     * tried again and again meanwhile, which an engine that is still busy refuses.
     *
     * @param nowMillis the monotonic time
     * @return true when it may
     */
    public boolean successorMayFollow(long nowMillis) {
        return successor.isPresent()
                && sent.isEmpty()
                && !doubtful
                && arriving.isEmpty()
                && (!busy || nowMillis - successorTriedMillis >= TRY_AGAIN_MILLIS);
    }

    /**
     * The engine was still busy with making room.
     *
     * @param model the model that room is made for
     * @param nowMillis the monotonic time
     */
    public void successorNotTaken(ModelId model, long nowMillis) {
        sent = Optional.empty();
        successor = Optional.of(model);
        successorTriedMillis = nowMillis;
    }

    /**
     * Returns whether an order can be given now.
     *
     * @return false while one is on its way or being carried out, or the state is in doubt
     */
    public boolean idle() {
        return !doubtful && !busy && sent.isEmpty();
    }

    /**
     * Returns whether the engine can be given an order, and why not.
     *
     * @return the state
     */
    public EngineState state() {
        if (doubtful) {
            return EngineState.UNSURE;
        }
        if (successor.isPresent()) {
            return EngineState.RESERVED;
        }
        return idle() ? EngineState.IDLE : EngineState.BUSY;
    }

    /**
     * Returns whether the engine was carrying out an order of a model when last heard of.
     *
     * @return true when it was
     */
    public boolean busy() {
        return busy;
    }

    /**
     * Returns how full the engine was when last heard of.
     *
     * @param slots requests that it runs at once
     * @return 0 for idle, 1 for full, more when requests wait
     */
    public double fullness(int slots) {
        return report.map(last -> (last.running() + last.waiting()) / (double) Math.max(1, slots))
                .orElse(0.0);
    }

    /**
     * Returns how many requests the engine ran when last heard of.
     *
     * @return the number
     */
    public int running() {
        return report.map(EngineReport::running).orElse(0);
    }

    /**
     * Returns whether a model is being loaded.
     *
     * @return true when one is
     */
    public boolean loading() {
        return arriving.isPresent();
    }

    /**
     * Returns what the engine holds, if that is sure enough to send it requests by.
     *
     * @param nowMillis the monotonic time
     * @return the models with their adapters, also adapters that load within milliseconds; empty
     *     when the outcome of an order is not known or reports fail to come
     */
    public Optional<Map<ModelId, HeldModel>> sureToHold(long nowMillis) {
        boolean old = nowMillis - reportedAtMillis > SURE_MILLIS;
        if (doubtful || report.isEmpty() || old) {
            return Optional.empty();
        }
        return Optional.of(
                held.entrySet().stream()
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey,
                                        entry -> new HeldModel(entry.getKey(), entry.getValue()))));
    }

    /**
     * Returns whether the state was ever reported.
     *
     * @return true when it was
     */
    public boolean known() {
        return report.isPresent();
    }

    /**
     * Returns the models that the engine holds, with their adapters, also those on their way.
     *
     * @return the adapters by model
     */
    public Map<ModelId, Set<AdapterId>> held() {
        return held;
    }

    /**
     * Returns for how long a model has been held.
     *
     * @param model the model
     * @param nowMillis the monotonic time
     * @return milliseconds since a report first showed it
     */
    public long heldMillis(ModelId model, long nowMillis) {
        return nowMillis - firstSeenMillis.getOrDefault(model, nowMillis);
    }

    /**
     * Returns for how long an adapter has been held.
     *
     * @param adapter model and adapter
     * @param nowMillis the monotonic time
     * @return milliseconds since its load was accepted; very many when this book does not know
     */
    public long adapterHeldMillis(ModelNeed adapter, long nowMillis) {
        return nowMillis - adapterLoadedMillis.getOrDefault(adapter, Long.MIN_VALUE / 2);
    }

    /**
     * Returns the model that is being loaded.
     *
     * @return the model
     */
    public Optional<ModelId> arriving() {
        return arriving;
    }

    /**
     * Returns the model that is being loaded, is about to be, or that room is made for. Orders that
     * are still on their way count: several are given in one pass, and without it one model that a
     * single request waits for would be loaded on several engines at once.
     *
     * @return the model
     */
    public Optional<ModelId> coming() {
        return arriving.or(() -> successor).or(() -> ordered(true));
    }

    /**
     * Returns the model that an unload on its way concerns. It counts as gone: otherwise both
     * copies of a model can be given up in one pass, each for the other's sake.
     *
     * @return the model
     */
    public Optional<ModelId> going() {
        return ordered(false);
    }

    private Optional<ModelId> ordered(boolean load) {
        return sent.filter(EngineOrder::ofModel)
                .filter(order -> order.load() == load)
                .map(EngineOrder::model);
    }

    /**
     * Returns whether the engine holds a model or is loading it.
     *
     * @param model the model
     * @return true when it does
     */
    public boolean has(ModelId model) {
        return held.containsKey(model) || coming().filter(model::equals).isPresent();
    }

    /**
     * Returns the models of which a copy can be loaded without the weight store.
     *
     * @return the models in main memory and on disk
     */
    public Set<ModelId> atHand() {
        return report.map(
                        last -> {
                            Set<ModelId> models = new HashSet<>(last.copiesInMemory());
                            models.addAll(last.copiesOnDisk());
                            return models;
                        })
                .orElse(Set.of());
    }

    /**
     * Returns whether a copy can be loaded from main memory.
     *
     * @param model the model
     * @return true when it can
     */
    public boolean inMemory(ModelId model) {
        return report.filter(last -> last.copiesInMemory().contains(model)).isPresent();
    }

    /**
     * Returns whether a copy can be loaded from disk.
     *
     * @param model the model
     * @return true when it can
     */
    public boolean onDisk(ModelId model) {
        return report.filter(last -> last.copiesOnDisk().contains(model)).isPresent();
    }
}
