package org.tamaracktrack.core.knowledge;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.tamaracktrack.core.delay.SchedulingDelay;
import org.tamaracktrack.core.knowledge.StalenessSimulation.Span;

/**
 * A simulated daemon with a control thread, which follows the store, and a traffic thread, which
 * sends requests and receives the answers of the store. It follows the store in the same way as the
 * keyed follower of the real daemon. Its information is the number of departures that it knows, in
 * the order of the log.
 */
final class SimulatedDaemon {
    private static final long NEVER = Long.MIN_VALUE / 2;
    private static final long HEARTBEAT_MILLIS = 100;
    private static final long LATE_MILLIS = 250;
    private static final long AGE_CHECK_MILLIS = 100;
    private static final long READ_TIMEOUT_MILLIS = 700;
    private static final long WAIT_MILLIS = 1_300;
    private static final long HOLDER_WAIT_MILLIS = 900;
    private static final long READ_PAUSE_MILLIS = 400;
    private static final long RELAY_TIMEOUT_MILLIS = 1_200;
    private static final long CLOCK_READING_INTERVAL_MILLIS = 1_000;
    private static final long MAX_CLOCK_LEAD_MILLIS = 50;
    private static final long FIRST_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 800;
    private static final long MAX_ROUND_TRIP_MILLIS = 250;
    private static final long HOLD_MILLIS = 400;
    private static final long GATE_CHECK_MILLIS = 20;
    private static final int NOT_LISTED = -1;

    private final StalenessSimulation simulation;
    private final int number;
    private final SchedulingDelay controlDelay;
    private final SchedulingDelay trafficDelay;
    private final Map<SimulatedDaemon, ClockReading> followers = new LinkedHashMap<>();
    private StoreFreshness freshness = StoreFreshness.unknown();
    private int nextRecord = NOT_LISTED;

    private boolean running = true;
    private final long startedMillis;
    private long totalFrozenMillis;
    private Span frozenSpan = Span.NONE;
    private Span disconnection = Span.NONE;
    private Span slowSpan = Span.NONE;
    private long slowMillis;
    private Span fullSpan = Span.NONE;
    private long fullMillis;
    private Span lossSpan = Span.NONE;
    private long retransmissionMillis;
    private long controlBusyMillis = NEVER;
    private long trafficBusyMillis = NEVER;
    private long dayMillis = 1_700_000_000_000L;

    private boolean storeUnavailable;
    private boolean failing;
    private boolean needsTime;
    private long unavailableAtMillis;
    private long unavailableAtSimulatedMillis;
    private long retryMillis = FIRST_RETRY_MILLIS;
    private long answeredAtMillis = NEVER;
    private ReadContext currentRead;

    private boolean reading;
    private boolean checkScheduled;
    private boolean refreshing;
    private boolean reliesOnHolder;
    private boolean relayTimedOut;
    private long relayedAtMillis = NEVER;
    private long relayCompleteAtMillis = NEVER;
    private DualTimestamp clockReadingAt = DualTimestamp.never();
    private int connections;
    private int relayedNext;
    private long heldSinceMillis = NEVER;

    /** A clock reading of a follower, and when the lease holder received it. */
    private record ClockReading(long clockMillis, long receivedAtMillis, int connection) {}

    private SimulatedDaemon(StalenessSimulation simulation, int number) {
        this.simulation = simulation;
        this.number = number;
        this.startedMillis = simulation.nowMillis();
        this.controlDelay = SchedulingDelay.of(HEARTBEAT_MILLIS, LATE_MILLIS, steadyMillis());
        this.trafficDelay = SchedulingDelay.of(HEARTBEAT_MILLIS, LATE_MILLIS, steadyMillis());
    }

    static SimulatedDaemon start(StalenessSimulation simulation, int number) {
        SimulatedDaemon daemon = new SimulatedDaemon(simulation, number);
        daemon.onControlThread(daemon::readAll);
        daemon.controlAfter(HEARTBEAT_MILLIS, daemon::heartbeatControl);
        daemon.trafficAfter(HEARTBEAT_MILLIS, daemon::heartbeatTraffic);
        daemon.controlAfter(AGE_CHECK_MILLIS, daemon::refreshIfOld);
        daemon.afterRandomDelay(daemon::generateRequest);
        simulation.holder().ifPresent(holder -> daemon.connect());
        return daemon;
    }

    void end() {
        running = false;
    }

    /** Returns the number of departures that it knows. */
    int knownRecords() {
        return Math.max(0, nextRecord);
    }

    Span disconnection() {
        return disconnection;
    }

    void disconnection(Span span) {
        disconnection = span;
    }

    long freezeEndMillis() {
        return frozenSpan.toMillis();
    }

    boolean isReachable() {
        return running && !isFrozen();
    }

    void keepControlBusy(long forMillis) {
        controlBusyMillis = Math.max(controlBusyMillis, simulation.nowMillis() + forMillis);
    }

    void keepTrafficBusy(long forMillis) {
        trafficBusyMillis = Math.max(trafficBusyMillis, simulation.nowMillis() + forMillis);
    }

    void slowLink(long byMillis, long forMillis) {
        slowSpan = new Span(simulation.nowMillis(), simulation.nowMillis() + forMillis);
        slowMillis = byMillis;
    }

    void fillLink(long byMillis, long forMillis) {
        fullMillis = Math.max(byMillis, queueMillis());
        fullSpan = new Span(simulation.nowMillis(), simulation.nowMillis() + forMillis);
    }

    void losePackets(long resentAfterMillis, long forMillis) {
        lossSpan = new Span(simulation.nowMillis(), simulation.nowMillis() + forMillis);
        retransmissionMillis = resentAfterMillis;
    }

    void freeze(long forMillis) {
        if (!isFrozen()) {
            frozenSpan = new Span(simulation.nowMillis(), simulation.nowMillis() + forMillis);
            simulation.schedule(frozenSpan.toMillis(), () -> totalFrozenMillis += forMillis);
        }
    }

    void stepClock(long byMillis) {
        dayMillis += byMillis;
    }

    private boolean isFrozen() {
        return frozenSpan.overlaps(simulation.nowMillis(), simulation.nowMillis());
    }

    private long steadyMillis() {
        long standingMillis = isFrozen() ? simulation.nowMillis() - frozenSpan.fromMillis() : 0;
        return simulation.nowMillis() - totalFrozenMillis - standingMillis;
    }

    private long timeOfDayMillis() {
        return dayMillis + simulation.nowMillis();
    }

    private DualTimestamp now() {
        return new DualTimestamp(steadyMillis(), timeOfDayMillis());
    }

    private long controlFreeMillis() {
        return Math.max(controlBusyMillis, frozenSpan.toMillis());
    }

    private long trafficFreeMillis() {
        return Math.max(trafficBusyMillis, frozenSpan.toMillis());
    }

    private void onControlThread(Runnable task) {
        simulation.schedule(
                simulation.nowMillis(), () -> whenFree(this::controlFreeMillis, 0, task));
    }

    private void onTrafficThread(Runnable task) {
        simulation.schedule(
                simulation.nowMillis(), () -> whenFree(this::trafficFreeMillis, 0, task));
    }

    // After a delay, a thread runs the timers that are due before it reads its sockets.
    private void onSocketRead(Runnable task) {
        whenFree(this::trafficFreeMillis, 1, task);
    }

    private void whenFree(LongSupplier free, long afterMillis, Runnable task) {
        if (!running) {
            return;
        }
        if (free.getAsLong() > simulation.nowMillis()) {
            simulation.schedule(
                    free.getAsLong() + afterMillis, () -> whenFree(free, afterMillis, task));
        } else {
            task.run();
        }
    }

    private void controlAfter(long delayMillis, Runnable task) {
        atSteadyMillis(steadyMillis() + delayMillis, this::controlFreeMillis, task);
    }

    private void trafficAfter(long delayMillis, Runnable task) {
        atSteadyMillis(steadyMillis() + delayMillis, this::trafficFreeMillis, task);
    }

    private void atSteadyMillis(long dueMillis, LongSupplier free, Runnable task) {
        long leftMillis = dueMillis - steadyMillis();
        if (leftMillis > 0 && running) {
            long atMillis = Math.max(simulation.nowMillis() + leftMillis, frozenSpan.toMillis());
            simulation.schedule(atMillis, () -> atSteadyMillis(dueMillis, free, task));
        } else {
            whenFree(free, 0, task);
        }
    }

    private long linkMillis() {
        return 1 + simulation.random().nextInt(3) + linkDelayMillis();
    }

    private long linkDelayMillis() {
        boolean isSlow = slowSpan.overlaps(simulation.nowMillis(), simulation.nowMillis());
        boolean isLosing = lossSpan.overlaps(simulation.nowMillis(), simulation.nowMillis());
        return (isSlow ? slowMillis : 0) + (isLosing ? retransmissionMillis : 0) + queueMillis();
    }

    // Messages stay in order: a queue that was full drains before later messages arrive.
    private long queueMillis() {
        if (simulation.nowMillis() < fullSpan.fromMillis()) {
            return 0;
        }
        long emptiedMillis = Math.max(0, simulation.nowMillis() - fullSpan.toMillis());
        return Math.max(0, fullMillis - emptiedMillis);
    }

    private void heartbeatControl() {
        controlDelay.recordTick(steadyMillis());
        controlAfter(HEARTBEAT_MILLIS, this::heartbeatControl);
    }

    private void heartbeatTraffic() {
        trafficDelay.recordTick(steadyMillis());
        trafficAfter(HEARTBEAT_MILLIS, this::heartbeatTraffic);
    }

    private boolean isPunctualSince(long sinceMillis) {
        return controlDelay.onTimeSince(sinceMillis, steadyMillis())
                && trafficDelay.onTimeSince(sinceMillis, steadyMillis());
    }

    private void afterRandomDelay(Runnable task) {
        simulation.schedule(simulation.nowMillis() + 20 + simulation.random().nextInt(240), task);
    }

    private void generateRequest() {
        if (running) {
            afterRandomDelay(this::generateRequest);
            whenFree(this::trafficFreeMillis, 0, () -> send(steadyMillis()));
        }
    }

    private void send(long sinceMillis) {
        if (nextRecord == NOT_LISTED) {
            return;
        }
        StalenessState state = simulation.bound().evaluate(freshness, now());
        if (state != StalenessState.STALE || !simulation.parameters().checksAtSend()) {
            heldSinceMillis = NEVER;
            simulation.recordSend(this);
            return;
        }
        heldSinceMillis = heldSinceMillis == NEVER ? steadyMillis() : heldSinceMillis;
        simulation.recordHeldRequest(simulation.nowMillis() - (steadyMillis() - heldSinceMillis));
        refresh();
        if (steadyMillis() - sinceMillis < HOLD_MILLIS) {
            trafficAfter(GATE_CHECK_MILLIS, () -> send(sinceMillis));
        }
    }

    /** Tracks the delays of this daemon itself during a read. */
    private final class ReadContext {
        private final DualTimestamp startedAt = now();
        private long storeReachableAtMillis = Long.MAX_VALUE;
        private boolean finished;

        private ReadContext withLinkCheck() {
            checkLink();
            return this;
        }

        private void checkLink() {
            if (finished) {
                return;
            }
            if (!simulation.parameters().checksLink()) {
                storeReachableAtMillis = steadyMillis();
                return;
            }
            long sentMillis = simulation.nowMillis();
            simulation.schedule(
                    sentMillis + linkDelayMillis(),
                    () ->
                            simulation.schedule(
                                    simulation.nowMillis() + linkDelayMillis(),
                                    () -> receiveProbe(sentMillis)));
        }

        private void receiveProbe(long sentMillis) {
            if (simulation.nowMillis() - sentMillis <= MAX_ROUND_TRIP_MILLIS) {
                storeReachableAtMillis = steadyMillis();
            }
        }

        private boolean indicatesStoreFailure() {
            return !simulation.parameters().ignoresOwnDelays() || excludesOwnDelay();
        }

        private boolean excludesOwnDelay() {
            return !now().clocksDivergedSince(startedAt)
                    && isPunctualSince(startedAt.steadyMillis())
                    && storeReachableAtMillis <= steadyMillis();
        }
    }

    /** A read of the store, which ends once, with the records available or without an answer. */
    final class Read {
        private final int firstRecord = knownRecords();
        private final long waitMillis;
        private final BiConsumer<Read, Integer> listener;
        private long sentMillis;
        private boolean answered;
        private boolean finished;

        private Read(long waitMillis, BiConsumer<Read, Integer> listener) {
            this.waitMillis = waitMillis;
            this.listener = listener;
        }

        private void send() {
            sentMillis = simulation.nowMillis();
            trafficAfter(waitMillis + READ_TIMEOUT_MILLIS, () -> end(NOT_LISTED));
            simulation.schedule(simulation.nowMillis() + linkMillis(), this::arrive);
        }

        private void arrive() {
            if (waitMillis == 0 || simulation.recordCount() > firstRecord) {
                answer();
            } else {
                simulation.addWaitingRead(this);
                simulation.schedule(simulation.nowMillis() + waitMillis, this::answer);
            }
        }

        void answer() {
            if (!answered) {
                answered = true;
                int written = simulation.recordCount();
                simulation.schedule(simulation.nowMillis() + linkMillis(), () -> receive(written));
            }
        }

        private void receive(int written) {
            boolean lost =
                    disconnection.overlaps(sentMillis, simulation.nowMillis())
                            || simulation.outage().overlaps(sentMillis, simulation.nowMillis());
            if (!lost) {
                onSocketRead(() -> end(written));
            }
        }

        private void end(int written) {
            if (!finished) {
                finished = true;
                onControlThread(() -> listener.accept(this, written));
            }
        }
    }

    private void read(long waitMillis, BiConsumer<Read, Integer> listener) {
        Read read = new Read(waitMillis, listener);
        onTrafficThread(read::send);
    }

    private void readAll() {
        ReadContext listing = new ReadContext().withLinkCheck();
        currentRead = listing;
        read(
                0,
                (read, written) -> {
                    listing.finished = true;
                    if (written == NOT_LISTED) {
                        retryLater(this::readAll);
                        return;
                    }
                    markStoreAvailable();
                    nextRecord = Math.max(nextRecord, written);
                    advanceFreshness(listing.startedAt);
                    follow();
                });
    }

    void refresh() {
        if (!refreshing) {
            refreshing = true;
            onControlThread(this::readImmediately);
        }
    }

    private void refreshIfOld() {
        controlAfter(AGE_CHECK_MILLIS, this::refreshIfOld);
        if (simulation.bound().needsRefresh(freshness, now())) {
            refresh();
        }
    }

    private void readImmediately() {
        if (nextRecord == NOT_LISTED) {
            refreshing = false;
            return;
        }
        ReadContext askedNow = new ReadContext().withLinkCheck();
        read(
                0,
                (read, written) -> {
                    refreshing = false;
                    askedNow.finished = true;
                    if (written != NOT_LISTED) {
                        markStoreAvailable();
                        applyRecords(read, written, askedNow.startedAt);
                    } else if (askedNow.startedAt.steadyMillis() >= relayCompleteAtMillis) {
                        handleFailure(askedNow);
                    }
                });
    }

    private void follow() {
        if (reading || nextRecord == NOT_LISTED) {
            return;
        }
        long passedMillis = steadyMillis() - relayedAtMillis;
        if (passedMillis < RELAY_TIMEOUT_MILLIS && relayedNext <= nextRecord) {
            reliesOnHolder = true;
            followAfter(RELAY_TIMEOUT_MILLIS - passedMillis);
            return;
        }
        relayTimedOut = relayTimedOut || reliesOnHolder;
        reliesOnHolder = false;
        reading = true;
        long waitMillis = waitMillis();
        currentRead = waitMillis == 0 ? new ReadContext().withLinkCheck() : new ReadContext();
        read(waitMillis, this::handleRecords);
    }

    private long waitMillis() {
        if (failing || storeUnavailable || relayTimedOut) {
            relayTimedOut = false;
            return needsTime ? WAIT_MILLIS : 0;
        }
        long wholeBeforeMillis =
                Math.max(0, steadyMillis() - freshness.completeAt().steadyMillis());
        return simulation.isHolder(this)
                ? Math.max(0, HOLDER_WAIT_MILLIS - wholeBeforeMillis)
                : WAIT_MILLIS;
    }

    private void followAfter(long delayMillis) {
        if (!checkScheduled) {
            checkScheduled = true;
            controlAfter(
                    delayMillis,
                    () -> {
                        checkScheduled = false;
                        follow();
                    });
        }
    }

    private void handleRecords(Read read, int written) {
        reading = false;
        currentRead.finished = true;
        if (written == NOT_LISTED) {
            if (currentRead.startedAt.steadyMillis() >= relayCompleteAtMillis) {
                retryLater(this::follow);
            } else {
                follow();
            }
            return;
        }
        markStoreAvailable();
        boolean nothingNew = written <= nextRecord;
        boolean empty = written <= read.firstRecord;
        long agoMillis = steadyMillis() - currentRead.startedAt.steadyMillis();
        long emptyAtMillis =
                currentRead.startedAt.steadyMillis() + Math.min(read.waitMillis, agoMillis);
        applyRecords(
                read,
                written,
                empty
                        ? currentRead.startedAt.withSteadyMillis(emptyAtMillis)
                        : currentRead.startedAt);
        if (nothingNew) {
            follow();
        } else {
            reading = true;
            controlAfter(
                    READ_PAUSE_MILLIS,
                    () -> {
                        reading = false;
                        follow();
                    });
        }
    }

    private void applyRecords(Read read, int written, DualTimestamp at) {
        if (simulation.isHolder(this)) {
            followers.forEach(
                    (follower, reading) -> {
                        long wholeAtMillis =
                                reading.clockMillis()
                                        + at.steadyMillis()
                                        - reading.receivedAtMillis();
                        int connection = reading.connection();
                        sendTo(
                                follower,
                                () ->
                                        follower.receiveRelayed(
                                                connection,
                                                read.firstRecord,
                                                written,
                                                wholeAtMillis));
                    });
        }
        nextRecord = Math.max(nextRecord, written);
        advanceFreshness(at);
    }

    private void sendTo(SimulatedDaemon receiver, Runnable message) {
        simulation.schedule(
                simulation.nowMillis() + linkMillis() + receiver.linkMillis(),
                () -> receiver.onSocketRead(() -> receiver.onControlThread(message)));
    }

    /** Connects to the lease holder and sends it a clock reading. */
    void connect() {
        onControlThread(this::sendClockReading);
    }

    private void sendClockReading() {
        clockReadingAt = now();
        long clockMillis = clockReadingAt.steadyMillis();
        int connection = connections;
        simulation
                .holder()
                .filter(holder -> holder != this)
                .ifPresent(
                        holder ->
                                sendTo(
                                        holder,
                                        () ->
                                                holder.followers.put(
                                                        this,
                                                        new ClockReading(
                                                                clockMillis,
                                                                holder.steadyMillis(),
                                                                connection))));
    }

    void loseHolder() {
        onControlThread(
                () -> {
                    relayedAtMillis = NEVER;
                    follow();
                });
    }

    private void receiveRelayed(int connection, int from, int written, long relayedCompleteMillis) {
        if (connection != connections) {
            return;
        }
        if (now().clocksDivergedSince(clockReadingAt)) {
            discardRelayedRecords();
            return;
        }
        boolean ahead = relayedCompleteMillis > steadyMillis() + MAX_CLOCK_LEAD_MILLIS;
        long wholeAtMillis = ahead ? NEVER : relayedCompleteMillis;
        if (ahead
                || steadyMillis() - clockReadingAt.steadyMillis()
                        >= CLOCK_READING_INTERVAL_MILLIS) {
            sendClockReading();
        }
        relayedAtMillis = Math.max(relayedAtMillis, wholeAtMillis);
        relayCompleteAtMillis = Math.max(relayCompleteAtMillis, wholeAtMillis);
        relayedNext = Math.max(relayedNext, written);
        if (nextRecord == NOT_LISTED) {
            return;
        }
        if (wholeAtMillis > unavailableAtMillis) {
            markStoreAvailable();
        }
        if (from <= nextRecord) {
            nextRecord = Math.max(nextRecord, written);
            advanceFreshness(now().withSteadyMillis(wholeAtMillis));
        }
        follow();
    }

    // Messages waiting in the socket are dated by a clock that has stood still since.
    private void discardRelayedRecords() {
        connections++;
        relayedAtMillis = NEVER;
        controlAfter(FIRST_RETRY_MILLIS, this::sendClockReading);
        follow();
    }

    private void advanceFreshness(DualTimestamp at) {
        freshness = freshness.afterRead(at);
    }

    private void markStoreAvailable() {
        answeredAtMillis = steadyMillis();
        retryMillis = FIRST_RETRY_MILLIS;
        failing = false;
        needsTime = false;
        storeUnavailable = false;
    }

    private void retryLater(Runnable step) {
        needsTime = failing ? !needsTime : needsTime;
        failing = true;
        handleFailure(currentRead);
        controlAfter(retryMillis, step);
        retryMillis = Math.min(MAX_RETRY_MILLIS, 2 * retryMillis);
    }

    private void handleFailure(ReadContext failed) {
        if (failed.startedAt.steadyMillis() < answeredAtMillis || !failed.indicatesStoreFailure()) {
            return;
        }
        freshness = freshness.afterStoreUnavailable(failed.startedAt);
        if (!storeUnavailable) {
            storeUnavailable = true;
            unavailableAtMillis = failed.startedAt.steadyMillis();
            unavailableAtSimulatedMillis = simulation.nowMillis();
        }
    }

    @Override
    public String toString() {
        return "daemon "
                + number
                + (simulation.isHolder(this) ? " (holder)" : "")
                + " started "
                + startedMillis
                + " age "
                + freshness.ageMillis(now())
                + " unavailable age "
                + freshness.unavailableAgeMillis(now())
                + " unavailable "
                + storeUnavailable
                + " since "
                + unavailableAtSimulatedMillis
                + " disconnected "
                + disconnection
                + " outage "
                + simulation.outage()
                + " frozen "
                + frozenSpan
                + " control busy until "
                + controlBusyMillis
                + " traffic busy until "
                + trafficBusyMillis
                + " slow "
                + slowSpan
                + " by "
                + slowMillis
                + " full "
                + fullSpan
                + " by "
                + fullMillis
                + " losing "
                + lossSpan
                + " retransmitted after "
                + retransmissionMillis
                + " failing "
                + failing
                + " known "
                + nextRecord
                + " relayed before ms "
                + (steadyMillis() - relayCompleteAtMillis);
    }
}
