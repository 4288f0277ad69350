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
 * Tracks the state of one engine at the daemon that issues orders: its last report and the orders
 * since then. Owned by the control thread.
 *
 * <p>An order without an answer may be executed seconds later. Every order therefore carries the
 * number of orders that the engine must have accepted before it. Of two orders with the same number
 * at most one is executed, and each was checked on its own to fit.
 */
public final class EngineTracker {
    /**
     * Reports lag by some hundred milliseconds, so a report requested within this time of an
     * accepted order is ignored.
     */
    private static final long REPORT_LAG_MILLIS = 400;

    /** Interval at which an engine without orders is asked for a report. */
    private static final long IDLE_REPORT_INTERVAL_MILLIS = 1_000;

    /**
     * Age at which a report expires. Idle engines report each second, so two reports may be lost.
     */
    private static final long REPORT_EXPIRY_MILLIS = 3 * IDLE_REPORT_INTERVAL_MILLIS;

    /**
     * Number of reports without an order in progress after which a reservation ends. The load is
     * tried right after the first such report. It may be impossible, because an unanswered order
     * was executed late or the weight store rate is used up. Without this limit the engine would
     * stay reserved and receive no more orders.
     */
    private static final int MAX_IDLE_REPORTS = 2;

    /**
     * Interval at which the reserved load is retried while the engine unloads. A load takes at
     * least 300 ms.
     */
    private static final long RESERVED_LOAD_RETRY_MILLIS = 150;

    private final DataCentreId dataCentre;
    private Optional<EngineReport> lastReport = Optional.empty();
    private Map<ModelId, Set<AdapterId>> held = new HashMap<>();
    private final Map<ModelId, Long> firstReportedMillis = new HashMap<>();
    private final Map<ModelNeed, Long> adapterLoadedMillis = new HashMap<>();
    private Optional<ModelId> loadingModel = Optional.empty();
    private Optional<ModelId> unloadingModel = Optional.empty();
    private Optional<ModelId> reservedModel = Optional.empty();
    private Optional<PlacementOrder> pendingOrder = Optional.empty();
    private boolean busy;
    private boolean uncertain = true;
    private long acceptedOrders;
    private long reservedLoadTriedMillis = Long.MIN_VALUE / 2;
    private int idleReports;
    private long reportRequestedMillis = Long.MIN_VALUE / 2;
    private long lastAcceptedMillis = Long.MIN_VALUE / 2;

    private EngineTracker(DataCentreId dataCentre) {
        this.dataCentre = dataCentre;
    }

    /**
     * Returns a tracker for an engine that has not reported yet.
     *
     * @param dataCentre the data centre of the engine
     * @return the tracker
     */
    public static EngineTracker of(DataCentreId dataCentre) {
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        return new EngineTracker(dataCentre);
    }

    /**
     * Returns the data centre of the engine.
     *
     * @return the data centre
     */
    public DataCentreId dataCentre() {
        return dataCentre;
    }

    /**
     * Applies a report. A report that was requested while an order is pending, or too soon after an
     * order was accepted, is ignored.
     *
     * @param latest the report
     * @param requestedAtMillis the monotonic time in milliseconds at which it was requested
     */
    public void applyReport(EngineReport latest, long requestedAtMillis) {
        if (pendingOrder.isPresent()
                || requestedAtMillis - lastAcceptedMillis < REPORT_LAG_MILLIS) {
            return;
        }
        boolean first = lastReport.isEmpty();
        lastReport = Optional.of(latest);
        reportRequestedMillis = requestedAtMillis;
        firstReportedMillis.keySet().retainAll(latest.models().keySet());
        latest.models()
                .keySet()
                .forEach(
                        model ->
                                firstReportedMillis.putIfAbsent(
                                        model, first ? Long.MIN_VALUE / 2 : requestedAtMillis));
        acceptedOrders = latest.acceptedOrders();
        busy = latest.busy();
        uncertain = false;
        held = new HashMap<>();
        latest.models().values().forEach(this::addModel);
        latest.arrivingAdapters().forEach(this::addArrivingAdapter);
        if (!busy) {
            loadingModel = Optional.empty();
            unloadingModel = Optional.empty();
            idleReports++;
        }
        if (idleReports >= MAX_IDLE_REPORTS) {
            reservedModel = Optional.empty();
        }
        unloadingModel.ifPresent(held::remove);
    }

    private void addModel(HeldModel model) {
        held.put(model.model(), new HashSet<>(model.adapters()));
    }

    private void addArrivingAdapter(ModelNeed arriving) {
        arriving.adapter()
                .ifPresent(
                        adapter ->
                                held.computeIfPresent(
                                        arriving.model(),
                                        (model, adapters) -> {
                                            adapters.add(adapter);
                                            return adapters;
                                        }));
    }

    /**
     * Records that an order is about to be sent. An order for model weights ends the reservation.
     *
     * @param order the order
     * @return the number of orders that the engine must have accepted before this one
     */
    public long beginOrder(PlacementOrder order) {
        pendingOrder = Optional.of(order);
        if (order.isModelOrder()) {
            reservedModel = Optional.empty();
        }
        return acceptedOrders;
    }

    /**
     * Reserves the memory that the pending order frees for a model, which from now on counts as
     * incoming. Without this, planning again before the load would make several engines free memory
     * for the same model.
     *
     * @param model the model to be loaded next
     */
    public void reserveFor(ModelId model) {
        reservedModel = Optional.of(model);
        reservedLoadTriedMillis = Long.MIN_VALUE / 2;
        idleReports = 0;
    }

    /**
     * Returns the model that freed memory is reserved for.
     *
     * @return the model; empty without a reservation
     */
    public Optional<ModelId> reservedModel() {
        return reservedModel;
    }

    /**
     * Records that the engine accepted the pending order.
     *
     * @param nowMillis the monotonic time in milliseconds
     */
    public void orderAccepted(long nowMillis) {
        pendingOrder.ifPresent(order -> applyOrder(order, nowMillis));
        pendingOrder = Optional.empty();
    }

    private void applyOrder(PlacementOrder order, long nowMillis) {
        acceptedOrders++;
        lastAcceptedMillis = nowMillis;
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
            loadingModel = Optional.of(order.model());
        } else {
            unloadingModel = Optional.of(order.model());
            held.remove(order.model());
        }
    }

    /**
     * Records that the pending order was not accepted or that its outcome is unknown. The state is
     * uncertain until the next report, and the reservation ends.
     */
    public void orderOutcomeUnknown() {
        pendingOrder = Optional.empty();
        reservedModel = Optional.empty();
        uncertain = true;
    }

    /**
     * Returns whether a new report should be requested.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return true when the state is uncertain, an order is in progress, or the last report is old
     */
    public boolean needsReport(long nowMillis) {
        boolean old = nowMillis - reportRequestedMillis >= IDLE_REPORT_INTERVAL_MILLIS;
        return pendingOrder.isEmpty()
                && (uncertain || busy || old)
                && nowMillis - lastAcceptedMillis >= REPORT_LAG_MILLIS;
    }

    /**
     * Returns whether the load that memory is reserved for may be tried. An unload completes as
     * soon as its last request ends, up to half a second before a report shows it. The load is
     * therefore retried in the meantime; an engine that is still busy refuses it.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return true when it may
     */
    public boolean mayTryReservedLoad(long nowMillis) {
        return reservedModel.isPresent()
                && pendingOrder.isEmpty()
                && !uncertain
                && loadingModel.isEmpty()
                && (!busy || nowMillis - reservedLoadTriedMillis >= RESERVED_LOAD_RETRY_MILLIS);
    }

    /**
     * Records that the engine refused the reserved load because the unload is still in progress.
     *
     * @param model the model that memory is reserved for
     * @param nowMillis the monotonic time in milliseconds
     */
    public void reservedLoadRefused(ModelId model, long nowMillis) {
        pendingOrder = Optional.empty();
        reservedModel = Optional.of(model);
        reservedLoadTriedMillis = nowMillis;
    }

    /**
     * Returns whether an order can be issued now.
     *
     * @return false while an order is pending or in progress, or the state is uncertain
     */
    public boolean idle() {
        return !uncertain && !busy && pendingOrder.isEmpty();
    }

    /**
     * Returns whether the engine can receive an order, or the reason why it cannot.
     *
     * @return the state
     */
    public EngineState state() {
        if (uncertain) {
            return EngineState.UNSURE;
        }
        if (reservedModel.isPresent()) {
            return EngineState.RESERVED;
        }
        return idle() ? EngineState.IDLE : EngineState.BUSY;
    }

    /**
     * Returns whether the engine is executing an order for model weights, by its last report and
     * the orders since.
     *
     * @return true when it is
     */
    public boolean busy() {
        return busy;
    }

    /**
     * Returns the utilization of the engine by its last report.
     *
     * @param slots the number of requests that it runs at the same time
     * @return 0 for idle, 1 for full, more than 1 when requests wait
     */
    public double utilization(int slots) {
        return lastReport
                .map(last -> (last.running() + last.waiting()) / (double) Math.max(1, slots))
                .orElse(0.0);
    }

    /**
     * Returns the number of requests that the engine runs by its last report.
     *
     * @return the number
     */
    public int running() {
        return lastReport.map(EngineReport::running).orElse(0);
    }

    /**
     * Returns whether the engine is loading a model.
     *
     * @return true when it is
     */
    public boolean loading() {
        return loadingModel.isPresent();
    }

    /**
     * Returns the models that the engine holds, if they are certain enough to route requests by.
     *
     * @param nowMillis the monotonic time in milliseconds
     * @return the models with their adapters, including adapters whose load was accepted, which
     *     takes milliseconds; empty when the outcome of an order is unknown or reports are missing
     */
    public Optional<Map<ModelId, HeldModel>> confirmedModels(long nowMillis) {
        boolean old = nowMillis - reportRequestedMillis > REPORT_EXPIRY_MILLIS;
        if (uncertain || lastReport.isEmpty() || old) {
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
     * Returns whether the engine has reported at least once.
     *
     * @return true when it has
     */
    public boolean hasReport() {
        return lastReport.isPresent();
    }

    /**
     * Returns the models that the engine holds, with their adapters, including adapters that are
     * still arriving.
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
     * @param nowMillis the monotonic time in milliseconds
     * @return milliseconds since it first appeared in a report; a very large number for models of
     *     the first report
     */
    public long heldMillis(ModelId model, long nowMillis) {
        return nowMillis - firstReportedMillis.getOrDefault(model, nowMillis);
    }

    /**
     * Returns for how long an adapter has been held.
     *
     * @param adapter the model and adapter
     * @param nowMillis the monotonic time in milliseconds
     * @return milliseconds since its load was accepted; a very large number when the load is not
     *     known here
     */
    public long adapterHeldMillis(ModelNeed adapter, long nowMillis) {
        return nowMillis - adapterLoadedMillis.getOrDefault(adapter, Long.MIN_VALUE / 2);
    }

    /**
     * Returns the model that is being loaded.
     *
     * @return the model; empty when none is
     */
    public Optional<ModelId> loadingModel() {
        return loadingModel;
    }

    /**
     * Returns the model that is being loaded, that memory is reserved for, or that a pending order
     * loads. Pending orders count because one pass issues several orders. Otherwise a model that a
     * single request waits for would be loaded on several engines at the same time.
     *
     * @return the model; empty when there is none
     */
    public Optional<ModelId> incomingModel() {
        return loadingModel.or(() -> reservedModel).or(() -> orderedModel(true));
    }

    /**
     * Returns the model that a pending order unloads. It counts as unloaded. Otherwise one pass
     * could unload both replicas of a model, each because the other exists.
     *
     * @return the model; empty when there is none
     */
    public Optional<ModelId> outgoingModel() {
        return orderedModel(false);
    }

    private Optional<ModelId> orderedModel(boolean load) {
        return pendingOrder
                .filter(PlacementOrder::isModelOrder)
                .filter(order -> order.load() == load)
                .map(PlacementOrder::model);
    }

    /**
     * Returns whether the engine holds a model or expects to hold it.
     *
     * @param model the model
     * @return true when it does
     */
    public boolean holdsOrExpects(ModelId model) {
        return held.containsKey(model) || incomingModel().filter(model::equals).isPresent();
    }

    /**
     * Returns the models that the engine can load without the weight store.
     *
     * @return the models in its main memory and on its disk
     */
    public Set<ModelId> locallyAvailableModels() {
        return lastReport
                .map(
                        last -> {
                            Set<ModelId> models = new HashSet<>(last.modelsInMemory());
                            models.addAll(last.modelsOnDisk());
                            return models;
                        })
                .orElse(Set.of());
    }

    /**
     * Returns whether the engine can load a model from main memory.
     *
     * @param model the model
     * @return true when it can
     */
    public boolean inMemory(ModelId model) {
        return lastReport.filter(last -> last.modelsInMemory().contains(model)).isPresent();
    }

    /**
     * Returns whether the engine can load a model from disk.
     *
     * @param model the model
     * @return true when it can
     */
    public boolean onDisk(ModelId model) {
        return lastReport.filter(last -> last.modelsOnDisk().contains(model)).isPresent();
    }
}
