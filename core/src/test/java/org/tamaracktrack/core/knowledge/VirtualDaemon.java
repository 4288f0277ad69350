package org.tamaracktrack.core.knowledge;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.tamaracktrack.core.delay.SchedulingDelay;
import org.tamaracktrack.core.knowledge.StaleKnowledgeScenario.Span;

/**
 * A daemon with a control thread, which follows the store, and a traffic thread, which sends and
 * whose sockets the answers of the store come through. It follows as the daemon's keyed follower
 * does. What it knows are the first so many leavings.
 */
final class VirtualDaemon {
    private static final long NEVER = Long.MIN_VALUE / 2;
    private static final long BEAT_MILLIS = 100;
    private static final long LATE_MILLIS = 250;
    private static final long LOOK_MILLIS = 100;
    private static final long ANSWER_MILLIS = 700;
    private static final long WAIT_MILLIS = 1_300;
    private static final long HOLDER_WAIT_MILLIS = 900;
    private static final long GAP_MILLIS = 400;
    private static final long QUIET_MILLIS = 1_200;
    private static final long READING_MILLIS = 1_000;
    private static final long AHEAD_MILLIS = 50;
    private static final long FIRST_RETRY_MILLIS = 100;
    private static final long MOST_RETRY_MILLIS = 800;
    private static final long REACH_MILLIS = 250;
    private static final long HOLD_MILLIS = 400;
    private static final long GATE_LOOK_MILLIS = 20;
    private static final int NOT_LISTED = -1;

    private final StaleKnowledgeScenario world;
    private final int number;
    private final SchedulingDelay controlDelay;
    private final SchedulingDelay trafficDelay;
    private final Map<VirtualDaemon, Reading> followers = new LinkedHashMap<>();
    private Knowledge knowledge = Knowledge.none();
    private int next = NOT_LISTED;

    private boolean running = true;
    private final long startedMillis;
    private long stoodStillMillis;
    private Span frozen = Span.NONE;
    private Span cut = Span.NONE;
    private Span slow = Span.NONE;
    private long slowMillis;
    private Span full = Span.NONE;
    private long fullMillis;
    private Span losing = Span.NONE;
    private long resentMillis;
    private long controlBusyMillis = NEVER;
    private long trafficBusyMillis = NEVER;
    private long dayMillis = 1_700_000_000_000L;

    private boolean away;
    private boolean failing;
    private boolean needsTime;
    private long awayAtMillis;
    private long awayTrulyAtMillis;
    private long retryMillis = FIRST_RETRY_MILLIS;
    private long answeredAtMillis = NEVER;
    private Asked asked;

    private boolean busy;
    private boolean checking;
    private boolean refreshing;
    private boolean reliesOnHolder;
    private boolean relayFellQuiet;
    private long relayedAtMillis = NEVER;
    private long heardAtMillis = NEVER;
    private Moment readingAt = Moment.never();
    private int connections;
    private int relayedNext;
    private long heldSinceMillis = NEVER;

    /** What the clock of a follower showed, and when it was heard of. */
    private record Reading(long clockMillis, long heardAtMillis, int connection) {}

    private VirtualDaemon(StaleKnowledgeScenario world, int number) {
        this.world = world;
        this.number = number;
        this.startedMillis = world.nowMillis();
        this.controlDelay = SchedulingDelay.of(BEAT_MILLIS, LATE_MILLIS, steadyMillis());
        this.trafficDelay = SchedulingDelay.of(BEAT_MILLIS, LATE_MILLIS, steadyMillis());
    }

    static VirtualDaemon start(StaleKnowledgeScenario world, int number) {
        VirtualDaemon daemon = new VirtualDaemon(world, number);
        daemon.control(daemon::list);
        daemon.controlAfter(BEAT_MILLIS, daemon::beatControl);
        daemon.trafficAfter(BEAT_MILLIS, daemon::beatTraffic);
        daemon.controlAfter(LOOK_MILLIS, daemon::refreshIfOld);
        daemon.later(daemon::request);
        world.holder().ifPresent(holder -> daemon.connect());
        return daemon;
    }

    void end() {
        running = false;
    }

    /** How many leavings it knows. */
    int known() {
        return Math.max(0, next);
    }

    Span cut() {
        return cut;
    }

    void cut(Span span) {
        cut = span;
    }

    long thawedMillis() {
        return frozen.toMillis();
    }

    boolean reached() {
        return running && !isFrozen();
    }

    void keepControlBusy(long forMillis) {
        controlBusyMillis = Math.max(controlBusyMillis, world.nowMillis() + forMillis);
    }

    void keepTrafficBusy(long forMillis) {
        trafficBusyMillis = Math.max(trafficBusyMillis, world.nowMillis() + forMillis);
    }

    void slowLink(long byMillis, long forMillis) {
        slow = new Span(world.nowMillis(), world.nowMillis() + forMillis);
        slowMillis = byMillis;
    }

    void fillLink(long byMillis, long forMillis) {
        fullMillis = Math.max(byMillis, queueMillis());
        full = new Span(world.nowMillis(), world.nowMillis() + forMillis);
    }

    void loseOnLink(long resentAfterMillis, long forMillis) {
        losing = new Span(world.nowMillis(), world.nowMillis() + forMillis);
        resentMillis = resentAfterMillis;
    }

    void freeze(long forMillis) {
        if (!isFrozen()) {
            frozen = new Span(world.nowMillis(), world.nowMillis() + forMillis);
            world.at(frozen.toMillis(), () -> stoodStillMillis += forMillis);
        }
    }

    void stepClock(long byMillis) {
        dayMillis += byMillis;
    }

    private boolean isFrozen() {
        return frozen.touches(world.nowMillis(), world.nowMillis());
    }

    private long steadyMillis() {
        long standingMillis = isFrozen() ? world.nowMillis() - frozen.fromMillis() : 0;
        return world.nowMillis() - stoodStillMillis - standingMillis;
    }

    private long timeOfDayMillis() {
        return dayMillis + world.nowMillis();
    }

    private Moment moment() {
        return new Moment(steadyMillis(), timeOfDayMillis());
    }

    private long controlFreeMillis() {
        return Math.max(controlBusyMillis, frozen.toMillis());
    }

    private long trafficFreeMillis() {
        return Math.max(trafficBusyMillis, frozen.toMillis());
    }

    private void control(Runnable task) {
        world.at(world.nowMillis(), () -> whenFree(this::controlFreeMillis, 0, task));
    }

    private void traffic(Runnable task) {
        world.at(world.nowMillis(), () -> whenFree(this::trafficFreeMillis, 0, task));
    }

    // A thread that was held up runs the timers that are due before it reads its sockets.
    private void socket(Runnable task) {
        whenFree(this::trafficFreeMillis, 1, task);
    }

    private void whenFree(LongSupplier free, long afterMillis, Runnable task) {
        if (!running) {
            return;
        }
        if (free.getAsLong() > world.nowMillis()) {
            world.at(free.getAsLong() + afterMillis, () -> whenFree(free, afterMillis, task));
        } else {
            task.run();
        }
    }

    private void controlAfter(long delayMillis, Runnable task) {
        atSteady(steadyMillis() + delayMillis, this::controlFreeMillis, task);
    }

    private void trafficAfter(long delayMillis, Runnable task) {
        atSteady(steadyMillis() + delayMillis, this::trafficFreeMillis, task);
    }

    private void atSteady(long dueMillis, LongSupplier free, Runnable task) {
        long leftMillis = dueMillis - steadyMillis();
        if (leftMillis > 0 && running) {
            long atMillis = Math.max(world.nowMillis() + leftMillis, frozen.toMillis());
            world.at(atMillis, () -> atSteady(dueMillis, free, task));
        } else {
            whenFree(free, 0, task);
        }
    }

    private long linkMillis() {
        return 1 + world.random().nextInt(3) + linkDelayMillis();
    }

    private long linkDelayMillis() {
        boolean isSlow = slow.touches(world.nowMillis(), world.nowMillis());
        boolean isLosing = losing.touches(world.nowMillis(), world.nowMillis());
        return (isSlow ? slowMillis : 0) + (isLosing ? resentMillis : 0) + queueMillis();
    }

    // What is sent later arrives later: a queue that was full is emptied first.
    private long queueMillis() {
        if (world.nowMillis() < full.fromMillis()) {
            return 0;
        }
        long emptiedMillis = Math.max(0, world.nowMillis() - full.toMillis());
        return Math.max(0, fullMillis - emptiedMillis);
    }

    private void beatControl() {
        controlDelay.recordTick(steadyMillis());
        controlAfter(BEAT_MILLIS, this::beatControl);
    }

    private void beatTraffic() {
        trafficDelay.recordTick(steadyMillis());
        trafficAfter(BEAT_MILLIS, this::beatTraffic);
    }

    private boolean punctualSince(long sinceMillis) {
        return controlDelay.onTimeSince(sinceMillis, steadyMillis())
                && trafficDelay.onTimeSince(sinceMillis, steadyMillis());
    }

    private void later(Runnable task) {
        world.at(world.nowMillis() + 20 + world.random().nextInt(240), task);
    }

    private void request() {
        if (running) {
            later(this::request);
            whenFree(this::trafficFreeMillis, 0, () -> send(steadyMillis()));
        }
    }

    private void send(long sinceMillis) {
        if (next == NOT_LISTED) {
            return;
        }
        Standing standing = world.bound().standing(knowledge, moment());
        if (standing != Standing.STALE || !world.rules().checksAtSend()) {
            heldSinceMillis = NEVER;
            world.sent(this);
            return;
        }
        heldSinceMillis = heldSinceMillis == NEVER ? steadyMillis() : heldSinceMillis;
        world.held(world.nowMillis() - (steadyMillis() - heldSinceMillis));
        refresh();
        if (steadyMillis() - sinceMillis < HOLD_MILLIS) {
            trafficAfter(GATE_LOOK_MILLIS, () -> send(sinceMillis));
        }
    }

    /** What is known of this daemon's own delay while a read is under way. */
    private final class Asked {
        private final Moment at = moment();
        private long reachedAtMillis = Long.MAX_VALUE;
        private boolean over;

        private Asked checked() {
            check();
            return this;
        }

        private void check() {
            if (over) {
                return;
            }
            if (!world.rules().checksLink()) {
                reachedAtMillis = steadyMillis();
                return;
            }
            long sentMillis = world.nowMillis();
            world.at(
                    sentMillis + linkDelayMillis(),
                    () -> world.at(world.nowMillis() + linkDelayMillis(), () -> hear(sentMillis)));
        }

        private void hear(long sentMillis) {
            if (world.nowMillis() - sentMillis <= REACH_MILLIS) {
                reachedAtMillis = steadyMillis();
            }
        }

        private boolean tellsOfTheStore() {
            return !world.rules().judgesFailures() || tellsOfOthers();
        }

        private boolean tellsOfOthers() {
            return !moment().apart(at)
                    && punctualSince(at.steadyMillis())
                    && reachedAtMillis <= steadyMillis();
        }
    }

    /** A read of the store. It ends once, with what is there or with nothing. */
    final class Read {
        private final int from = known();
        private final long waitMillis;
        private final BiConsumer<Read, Integer> listener;
        private long sentMillis;
        private boolean answered;
        private boolean over;

        private Read(long waitMillis, BiConsumer<Read, Integer> listener) {
            this.waitMillis = waitMillis;
            this.listener = listener;
        }

        private void send() {
            sentMillis = world.nowMillis();
            trafficAfter(waitMillis + ANSWER_MILLIS, () -> end(NOT_LISTED));
            world.at(world.nowMillis() + linkMillis(), this::arrive);
        }

        private void arrive() {
            if (waitMillis == 0 || world.written() > from) {
                answer();
            } else {
                world.waits(this);
                world.at(world.nowMillis() + waitMillis, this::answer);
            }
        }

        void answer() {
            if (!answered) {
                answered = true;
                int written = world.written();
                world.at(world.nowMillis() + linkMillis(), () -> receive(written));
            }
        }

        private void receive(int written) {
            boolean lost =
                    cut.touches(sentMillis, world.nowMillis())
                            || world.outage().touches(sentMillis, world.nowMillis());
            if (!lost) {
                socket(() -> end(written));
            }
        }

        private void end(int written) {
            if (!over) {
                over = true;
                control(() -> listener.accept(this, written));
            }
        }
    }

    private void read(long waitMillis, BiConsumer<Read, Integer> listener) {
        Read read = new Read(waitMillis, listener);
        traffic(read::send);
    }

    private void list() {
        Asked listing = new Asked().checked();
        asked = listing;
        read(
                0,
                (read, written) -> {
                    listing.over = true;
                    if (written == NOT_LISTED) {
                        retry(this::list);
                        return;
                    }
                    back();
                    next = Math.max(next, written);
                    wholeAt(listing.at);
                    follow();
                });
    }

    void refresh() {
        if (!refreshing) {
            refreshing = true;
            control(this::readNow);
        }
    }

    private void refreshIfOld() {
        controlAfter(LOOK_MILLIS, this::refreshIfOld);
        if (world.bound().refreshes(knowledge, moment())) {
            refresh();
        }
    }

    private void readNow() {
        if (next == NOT_LISTED) {
            refreshing = false;
            return;
        }
        Asked askedNow = new Asked().checked();
        read(
                0,
                (read, written) -> {
                    refreshing = false;
                    askedNow.over = true;
                    if (written != NOT_LISTED) {
                        back();
                        take(read, written, askedNow.at);
                    } else if (askedNow.at.steadyMillis() >= heardAtMillis) {
                        failed(askedNow);
                    }
                });
    }

    private void follow() {
        if (busy || next == NOT_LISTED) {
            return;
        }
        long passedMillis = steadyMillis() - relayedAtMillis;
        if (passedMillis < QUIET_MILLIS && relayedNext <= next) {
            reliesOnHolder = true;
            checkAfter(QUIET_MILLIS - passedMillis);
            return;
        }
        relayFellQuiet = relayFellQuiet || reliesOnHolder;
        reliesOnHolder = false;
        busy = true;
        long waitMillis = waitMillis();
        asked = waitMillis == 0 ? new Asked().checked() : new Asked();
        read(waitMillis, this::records);
    }

    private long waitMillis() {
        if (failing || away || relayFellQuiet) {
            relayFellQuiet = false;
            return needsTime ? WAIT_MILLIS : 0;
        }
        long wholeBeforeMillis = Math.max(0, steadyMillis() - knowledge.wholeAt().steadyMillis());
        return world.isHolder(this)
                ? Math.max(0, HOLDER_WAIT_MILLIS - wholeBeforeMillis)
                : WAIT_MILLIS;
    }

    private void checkAfter(long delayMillis) {
        if (!checking) {
            checking = true;
            controlAfter(
                    delayMillis,
                    () -> {
                        checking = false;
                        follow();
                    });
        }
    }

    private void records(Read read, int written) {
        busy = false;
        asked.over = true;
        if (written == NOT_LISTED) {
            if (asked.at.steadyMillis() >= heardAtMillis) {
                retry(this::follow);
            } else {
                follow();
            }
            return;
        }
        back();
        boolean nothingNew = written <= next;
        boolean empty = written <= read.from;
        long agoMillis = steadyMillis() - asked.at.steadyMillis();
        long emptyAtMillis = asked.at.steadyMillis() + Math.min(read.waitMillis, agoMillis);
        take(read, written, empty ? asked.at.at(emptyAtMillis) : asked.at);
        if (nothingNew) {
            follow();
        } else {
            busy = true;
            controlAfter(
                    GAP_MILLIS,
                    () -> {
                        busy = false;
                        follow();
                    });
        }
    }

    private void take(Read read, int written, Moment at) {
        if (world.isHolder(this)) {
            followers.forEach(
                    (follower, reading) -> {
                        long wholeAtMillis =
                                reading.clockMillis() + at.steadyMillis() - reading.heardAtMillis();
                        int connection = reading.connection();
                        pass(
                                follower,
                                () ->
                                        follower.heard(
                                                connection, read.from, written, wholeAtMillis));
                    });
        }
        next = Math.max(next, written);
        wholeAt(at);
    }

    private void pass(VirtualDaemon receiver, Runnable message) {
        world.at(
                world.nowMillis() + linkMillis() + receiver.linkMillis(),
                () -> receiver.socket(() -> receiver.control(message)));
    }

    /** The holder is called, and told what the clock shows. */
    void connect() {
        control(this::tellClock);
    }

    private void tellClock() {
        readingAt = moment();
        long clockMillis = readingAt.steadyMillis();
        int connection = connections;
        world.holder()
                .filter(holder -> holder != this)
                .ifPresent(
                        holder ->
                                pass(
                                        holder,
                                        () ->
                                                holder.followers.put(
                                                        this,
                                                        new Reading(
                                                                clockMillis,
                                                                holder.steadyMillis(),
                                                                connection))));
    }

    void loseHolder() {
        control(
                () -> {
                    relayedAtMillis = NEVER;
                    follow();
                });
    }

    private void heard(int connection, int from, int written, long saidMillis) {
        if (connection != connections) {
            return;
        }
        if (moment().apart(readingAt)) {
            dropWhatWasToldBefore();
            return;
        }
        boolean ahead = saidMillis > steadyMillis() + AHEAD_MILLIS;
        long wholeAtMillis = ahead ? NEVER : saidMillis;
        if (ahead || steadyMillis() - readingAt.steadyMillis() >= READING_MILLIS) {
            tellClock();
        }
        relayedAtMillis = Math.max(relayedAtMillis, wholeAtMillis);
        heardAtMillis = Math.max(heardAtMillis, wholeAtMillis);
        relayedNext = Math.max(relayedNext, written);
        if (next == NOT_LISTED) {
            return;
        }
        if (wholeAtMillis > awayAtMillis) {
            back();
        }
        if (from <= next) {
            next = Math.max(next, written);
            wholeAt(moment().at(wholeAtMillis));
        }
        follow();
    }

    // What lies in the socket is dated by a clock that has stood still since.
    private void dropWhatWasToldBefore() {
        connections++;
        relayedAtMillis = NEVER;
        controlAfter(FIRST_RETRY_MILLIS, this::tellClock);
        follow();
    }

    private void wholeAt(Moment at) {
        knowledge = knowledge.whole(at);
    }

    private void back() {
        answeredAtMillis = steadyMillis();
        retryMillis = FIRST_RETRY_MILLIS;
        failing = false;
        needsTime = false;
        away = false;
    }

    private void retry(Runnable step) {
        needsTime = failing ? !needsTime : needsTime;
        failing = true;
        failed(asked);
        controlAfter(retryMillis, step);
        retryMillis = Math.min(MOST_RETRY_MILLIS, 2 * retryMillis);
    }

    private void failed(Asked failed) {
        if (failed.at.steadyMillis() < answeredAtMillis || !failed.tellsOfTheStore()) {
            return;
        }
        knowledge = knowledge.away(failed.at);
        if (!away) {
            away = true;
            awayAtMillis = failed.at.steadyMillis();
            awayTrulyAtMillis = world.nowMillis();
        }
    }

    @Override
    public String toString() {
        return "daemon "
                + number
                + (world.isHolder(this) ? " (holder)" : "")
                + " started "
                + startedMillis
                + " age "
                + knowledge.ageMillis(moment())
                + " away age "
                + knowledge.awayAgeMillis(moment())
                + " away "
                + away
                + " since "
                + awayTrulyAtMillis
                + " cut "
                + cut
                + " outage "
                + world.outage()
                + " frozen "
                + frozen
                + " control busy until "
                + controlBusyMillis
                + " traffic busy until "
                + trafficBusyMillis
                + " slow "
                + slow
                + " by "
                + slowMillis
                + " full "
                + full
                + " by "
                + fullMillis
                + " losing "
                + losing
                + " resent after "
                + resentMillis
                + " failing "
                + failing
                + " known "
                + next
                + " heard "
                + (steadyMillis() - heardAtMillis);
    }
}
