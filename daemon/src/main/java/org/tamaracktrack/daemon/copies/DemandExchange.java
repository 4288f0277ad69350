package org.tamaracktrack.daemon.copies;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.tamaracktrack.core.copies.DemandBook;
import org.tamaracktrack.core.fleet.ModelNeed;
import org.tamaracktrack.daemon.relay.RecordRelay;
import org.tamaracktrack.daemon.runtime.ControlThread;
import org.tamaracktrack.link.topic.RecordBatch;
import org.tamaracktrack.link.topic.TopicAnswer;
import org.tamaracktrack.link.topic.TopicClient;
import org.tamaracktrack.link.topic.TopicPart;

/**
 * Brings what each daemon sees of demand to the one that gives orders: the others tell it, or
 * append it when they have no connection to it; the holder of the lease reads it. On the control
 * thread.
 */
final class DemandExchange {
    private static final long TICK_MILLIS = 100;

    /** Demand is written this often; a request that waits for a copy is written at once. */
    private static final long WRITE_EVERY_MILLIS = 1_000;

    private static final long WRITE_WAITING_EVERY_MILLIS = 700;
    private static final long READ_WAIT_MILLIS = 2_000;

    /** Records that come close together cost one read. */
    private static final long READ_GAP_MILLIS = 80;

    private static final long RETRY_MILLIS = 500;

    /**
     * How often the holder writes down which models were ever asked for; the store keeps records
     * for 20 s. A successor that did not know would keep copies that nobody wants.
     */
    private static final long REMEMBER_EVERY_MILLIS = 4_000;

    private final String process;
    private final TopicClient topics;
    private final TopicPart part;
    private final ControlThread control;
    private final LeaseDriver lease;
    private final RecordRelay relay;
    private final DemandBook book;
    private final Supplier<CompletableFuture<DemandBook.Seen>> meter;
    private final Map<ModelNeed, Integer> urgent = new HashMap<>();
    private final Map<ModelNeed, Integer> patient = new HashMap<>();
    private Set<ModelNeed> waitingWritten = Set.of();
    private long writtenAtMillis;
    private long rememberedAtMillis;
    private boolean reading;
    private boolean skipHistory;
    private long next;

    private DemandExchange(
            String process,
            TopicClient topics,
            TopicPart part,
            ControlThread control,
            LeaseDriver lease,
            RecordRelay relay,
            DemandBook book,
            Supplier<CompletableFuture<DemandBook.Seen>> meter) {
        this.process = process;
        this.topics = topics;
        this.part = part;
        this.control = control;
        this.lease = lease;
        this.relay = relay;
        this.book = book;
        this.meter = meter;
    }

    static DemandExchange start(
            String process,
            TopicClient topics,
            TopicPart part,
            ControlThread control,
            LeaseDriver lease,
            RecordRelay relay,
            DemandBook book,
            Supplier<CompletableFuture<DemandBook.Seen>> meter) {
        Objects.requireNonNull(meter, "meter is null");
        DemandExchange exchange =
                new DemandExchange(process, topics, part, control, lease, relay, book, meter);
        topics.era().addRestoreListener(() -> control.post(exchange::restored));
        control.post(() -> relay.onTold(part, exchange::told));
        control.every(TICK_MILLIS, exchange::tick);
        return exchange;
    }

    private void restored() {
        next = 0;
        skipHistory = true;
    }

    private void tick() {
        meter.get().thenAccept(demand -> control.post(() -> metered(demand)));
        if (lease.holds() && !reading) {
            reading = true;
            skipHistory = true;
            read();
        }
    }

    private void metered(DemandBook.Seen seen) {
        long nowMillis = ControlThread.nowMillis();
        if (lease.holds()) {
            urgent.clear();
            patient.clear();
            book.add(process, seen, nowMillis);
            writeDownAsked(nowMillis);
            return;
        }
        seen.urgent().forEach((need, count) -> urgent.merge(need, count, Integer::sum));
        seen.patient().forEach((need, count) -> patient.merge(need, count, Integer::sum));
        boolean newlyWaiting = !waitingWritten.containsAll(seen.waiting().keySet());
        long every = seen.waiting().isEmpty() ? WRITE_EVERY_MILLIS : WRITE_WAITING_EVERY_MILLIS;
        boolean something = !urgent.isEmpty() || !patient.isEmpty() || !seen.waiting().isEmpty();
        if (newlyWaiting || something && nowMillis - writtenAtMillis >= every) {
            writtenAtMillis = nowMillis;
            waitingWritten = seen.waiting().keySet();
            write(new DemandBook.Seen(urgent, patient, seen.waiting()));
            urgent.clear();
            patient.clear();
        }
    }

    private void writeDownAsked(long nowMillis) {
        DemandBook.Seen asked = book.everAsked();
        boolean nothing = asked.urgent().isEmpty() && asked.patient().isEmpty();
        if (nothing || nowMillis - rememberedAtMillis < REMEMBER_EVERY_MILLIS) {
            return;
        }
        rememberedAtMillis = nowMillis;
        append(DutyRecords.encode(new DutyRecords.DemandRecord(process, asked)));
    }

    private void append(byte[] record) {
        topics.append(part, List.of(record), OptionalLong.empty());
    }

    // A record that is lost is not sent again: the next one says what waits now, and the averages
    // come right within seconds.
    private void write(DemandBook.Seen seen) {
        byte[] record = DutyRecords.encode(new DutyRecords.DemandRecord(process, seen));
        if (!relay.tell(part, record)) {
            append(record);
        }
    }

    private void told(byte[] record) {
        if (lease.holds()) {
            add(record, ControlThread.nowMillis());
        }
    }

    private void add(byte[] bytes, long nowMillis) {
        DutyRecords.demand(bytes)
                .filter(record -> !record.process().equals(process))
                .ifPresent(record -> book.add(record.process(), record.seen(), nowMillis));
    }

    private void read() {
        topics.read(part, next, skipHistory ? 0 : READ_WAIT_MILLIS)
                .thenAccept(answer -> control.post(() -> readDone(answer)));
    }

    private void readDone(TopicAnswer<RecordBatch> answer) {
        if (!lease.holds()) {
            reading = false;
            return;
        }
        if (answer instanceof TopicAnswer.Done<RecordBatch> done) {
            take(done.value());
        } else if (answer instanceof TopicAnswer.Expired<RecordBatch> expired) {
            next = expired.first();
            read();
        } else {
            control.after(RETRY_MILLIS, this::read);
        }
    }

    private void take(RecordBatch batch) {
        if (skipHistory) {
            // Counts of minutes ago would be taken for demand of now; they only tell which models
            // were ever asked for.
            batch.records().stream()
                    .flatMap(record -> DutyRecords.demand(record).stream())
                    .forEach(record -> book.recall(record.seen(), ControlThread.nowMillis()));
            skipHistory = false;
            next = batch.end();
            read();
            return;
        }
        long nowMillis = ControlThread.nowMillis();
        batch.records().forEach(record -> add(record, nowMillis));
        next = batch.nextOffset();
        if (batch.records().isEmpty()) {
            read();
        } else {
            control.after(READ_GAP_MILLIS, this::read);
        }
    }
}
