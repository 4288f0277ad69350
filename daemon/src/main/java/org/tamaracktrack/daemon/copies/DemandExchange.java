package org.tamaracktrack.daemon.copies;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.tamaracktrack.core.copies.DemandTracker;
import org.tamaracktrack.core.copies.EngineWorkFactors;
import org.tamaracktrack.core.copies.WorkFactorReports;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.lease.ConditionalLease;
import org.tamaracktrack.daemon.relay.RecordRelay;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.RecordBatch;
import org.tamaracktrack.link.topic.TopicAnswer;
import org.tamaracktrack.link.topic.TopicClient;
import org.tamaracktrack.link.topic.TopicPart;

/**
 * Collects the request counts of all daemons at the holder of the lease. The other daemons send
 * their counts to the holder, or append them to the store while they have no connection to it; the
 * holder reads the store as well. Used on the control thread only.
 */
final class DemandExchange {
    private static final long TICK_MILLIS = 100;

    /**
     * The interval between two reports of a daemon. A need for which requests have begun to wait is
     * reported at once.
     */
    private static final long REPORT_INTERVAL_MILLIS = 1_000;

    /** The interval at which the work factors that this daemon observes are read. */
    private static final long WORK_FACTOR_INTERVAL_MILLIS = 500;

    private static final long WAITING_REPORT_INTERVAL_MILLIS = 700;
    private static final long READ_WAIT_MILLIS = 2_000;

    /** The pause after a read that returned records, so that one read returns several of them. */
    private static final long READ_PAUSE_MILLIS = 80;

    private static final long RETRY_MILLIS = 500;

    /**
     * The interval at which the holder stores which models were ever requested; the store keeps
     * records for 20 s. Without them the next holder would keep replicas of unrequested models.
     */
    private static final long REQUESTED_MODELS_INTERVAL_MILLIS = 4_000;

    private final String process;
    private final TopicClient topics;
    private final TopicPart part;
    private final ControlThread control;
    private final LeaseDriver lease;
    private final RecordRelay relay;
    private final DemandTracker demandTracker;
    private final EngineWorkFactors workFactors;
    private final Source source;
    private final WorkFactorReports workFactorReports = WorkFactorReports.empty();
    private final Map<ModelNeed, Integer> urgent = new HashMap<>();
    private final Map<ModelNeed, Integer> patient = new HashMap<>();
    private Map<TargetIncarnation, Double> ownWorkFactors = Map.of();
    private Optional<ConditionalLease.Contact> reportedTo = Optional.empty();
    private boolean wasConnected;
    private boolean wasHolder;
    private Set<ModelNeed> reportedWaiting = Set.of();
    private long reportedAtMillis;
    private long requestedModelsAppendedAtMillis;
    private boolean reading;
    private boolean mustSkipOldRecords;
    private long nextOffset;

    /**
     * Reads what this daemon observes.
     *
     * @param demandCounts returns the request counts since the previous call
     * @param workFactors returns by which factor work takes longer than usual at each target that
     *     reports it
     */
    record Source(
            Supplier<CompletableFuture<DemandTracker.DemandCounts>> demandCounts,
            Supplier<CompletableFuture<Map<TargetIncarnation, Double>>> workFactors) {}

    private DemandExchange(
            String process,
            TopicClient topics,
            TopicPart part,
            ControlThread control,
            LeaseDriver lease,
            RecordRelay relay,
            DemandTracker demandTracker,
            EngineWorkFactors workFactors,
            Source source) {
        this.process = process;
        this.topics = topics;
        this.part = part;
        this.control = control;
        this.lease = lease;
        this.relay = relay;
        this.demandTracker = demandTracker;
        this.workFactors = workFactors;
        this.source = source;
    }

    static DemandExchange start(
            String process,
            TopicClient topics,
            TopicPart part,
            ControlThread control,
            LeaseDriver lease,
            RecordRelay relay,
            DemandTracker demandTracker,
            EngineWorkFactors workFactors,
            Source source) {
        Objects.requireNonNull(source, "source is null");
        DemandExchange exchange =
                new DemandExchange(
                        process,
                        topics,
                        part,
                        control,
                        lease,
                        relay,
                        demandTracker,
                        workFactors,
                        source);
        topics.era().addRestoreListener(() -> control.post(exchange::handleLogRestored));
        control.post(() -> relay.onFollowerRecord(part, exchange::handleReport));
        control.every(TICK_MILLIS, exchange::tick);
        control.every(WORK_FACTOR_INTERVAL_MILLIS, exchange::readOwnWorkFactors);
        return exchange;
    }

    private void handleLogRestored() {
        nextOffset = 0;
        mustSkipOldRecords = true;
    }

    private void tick() {
        detectHolderChange();
        source.demandCounts()
                .get()
                .thenAccept(demand -> control.post(() -> handleOwnCounts(demand)));
        if (lease.holds() && !reading) {
            reading = true;
            mustSkipOldRecords = true;
            read();
        }
    }

    // Another holder knows no factors, and reports on a lost connection may not have arrived. They
    // are sent again with the next report.
    private void detectHolderChange() {
        Optional<ConditionalLease.Contact> holder = lease.otherHolderContact();
        boolean isConnected = relay.connected();
        boolean isHolder = lease.holds();
        if (!holder.equals(reportedTo) || isConnected && !wasConnected || isHolder != wasHolder) {
            workFactorReports.clear();
        }
        reportedTo = holder;
        wasConnected = isConnected;
        wasHolder = isHolder;
    }

    private void readOwnWorkFactors() {
        source.workFactors()
                .get()
                .thenAccept(factors -> control.post(() -> handleOwnWorkFactors(factors)));
    }

    private void handleOwnWorkFactors(Map<TargetIncarnation, Double> factors) {
        ownWorkFactors = factors;
        if (lease.holds()) {
            recordOwnWorkFactors();
        }
    }

    private void recordOwnWorkFactors() {
        long nowMillis = ControlThread.nowMillis();
        workFactors.record(workFactorReports.take(ownWorkFactors, nowMillis), nowMillis);
    }

    private void handleOwnCounts(DemandTracker.DemandCounts counts) {
        long nowMillis = ControlThread.nowMillis();
        if (lease.holds()) {
            urgent.clear();
            patient.clear();
            demandTracker.add(process, counts, nowMillis);
            appendRequestedModels(nowMillis);
            return;
        }
        workFactors.clear();
        counts.urgent().forEach((need, count) -> urgent.merge(need, count, Integer::sum));
        counts.patient().forEach((need, count) -> patient.merge(need, count, Integer::sum));
        boolean newlyWaiting = !reportedWaiting.containsAll(counts.waiting().keySet());
        long intervalMillis =
                counts.waiting().isEmpty()
                        ? REPORT_INTERVAL_MILLIS
                        : WAITING_REPORT_INTERVAL_MILLIS;
        boolean hasDemand = !urgent.isEmpty() || !patient.isEmpty() || !counts.waiting().isEmpty();
        boolean hasReport = hasDemand || workFactorReports.isDue(ownWorkFactors, nowMillis);
        if (newlyWaiting || hasReport && nowMillis - reportedAtMillis >= intervalMillis) {
            reportedAtMillis = nowMillis;
            reportedWaiting = counts.waiting().keySet();
            sendReport(
                    new DemandTracker.DemandCounts(urgent, patient, counts.waiting()),
                    workFactorReports.take(ownWorkFactors, nowMillis));
            urgent.clear();
            patient.clear();
        }
    }

    private void appendRequestedModels(long nowMillis) {
        DemandTracker.DemandCounts requested = demandTracker.everRequested();
        boolean isEmpty = requested.urgent().isEmpty() && requested.patient().isEmpty();
        if (isEmpty
                || nowMillis - requestedModelsAppendedAtMillis < REQUESTED_MODELS_INTERVAL_MILLIS) {
            return;
        }
        requestedModelsAppendedAtMillis = nowMillis;
        append(DutyRecords.encode(new DutyRecords.DemandRecord(process, requested, Map.of())));
    }

    private void append(byte[] record) {
        topics.append(part, List.of(record), OptionalLong.empty());
    }

    // A lost report is not sent again: the next one contains the requests that wait then, and the
    // averages recover within seconds.
    private void sendReport(
            DemandTracker.DemandCounts counts, Map<TargetIncarnation, Double> factors) {
        byte[] record = DutyRecords.encode(new DutyRecords.DemandRecord(process, counts, factors));
        if (!relay.sendToHolder(part, record)) {
            append(record);
        }
    }

    private void handleReport(byte[] record) {
        if (lease.holds()) {
            addReport(record, ControlThread.nowMillis());
        }
    }

    private void addReport(byte[] bytes, long nowMillis) {
        DutyRecords.decodeDemand(bytes)
                .filter(record -> !record.process().equals(process))
                .ifPresent(
                        record -> {
                            demandTracker.add(record.process(), record.counts(), nowMillis);
                            workFactors.record(record.workFactors(), nowMillis);
                        });
    }

    private void read() {
        topics.read(part, nextOffset, mustSkipOldRecords ? 0 : READ_WAIT_MILLIS)
                .thenAccept(answer -> control.post(() -> handleReadAnswer(answer)));
    }

    private void handleReadAnswer(TopicAnswer<RecordBatch> answer) {
        if (!lease.holds()) {
            reading = false;
            return;
        }
        if (answer instanceof TopicAnswer.Done<RecordBatch> done) {
            handleBatch(done.value());
        } else if (answer instanceof TopicAnswer.Expired<RecordBatch> expired) {
            nextOffset = expired.first();
            read();
        } else {
            control.after(RETRY_MILLIS, this::read);
        }
    }

    private void handleBatch(RecordBatch batch) {
        if (mustSkipOldRecords) {
            // Old counts must not be added to current demand; they only show which models were
            // ever requested.
            batch.records().stream()
                    .flatMap(record -> DutyRecords.decodeDemand(record).stream())
                    .forEach(
                            record ->
                                    demandTracker.restore(
                                            record.counts(), ControlThread.nowMillis()));
            mustSkipOldRecords = false;
            nextOffset = batch.end();
            read();
            return;
        }
        long nowMillis = ControlThread.nowMillis();
        batch.records().forEach(record -> addReport(record, nowMillis));
        nextOffset = batch.nextOffset();
        if (batch.records().isEmpty()) {
            read();
        } else {
            control.after(READ_PAUSE_MILLIS, this::read);
        }
    }
}
