package org.tamaracktrack.core.knowledge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Simulates daemons in virtual time that send requests to all targets they know, while targets
 * depart. The store, the links, and the threads and clocks of the daemons fail at random.
 */
final class StalenessSimulation {
    private static final long WARM_UP_MILLIS = 4_000;
    private static final long END_MILLIS = 30_000;
    private static final long MAX_ELECTION_MILLIS = 4_000;

    private final Random random;
    private final Parameters run;
    private final StalenessBound bound;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private final List<SimulatedDaemon> daemons = new ArrayList<>();
    private final List<Long> departuresAtMillis = new ArrayList<>();
    private final List<SimulatedDaemon.Read> waitingReads = new ArrayList<>();
    private final List<Fault> faults;
    private Span outage = Span.NONE;
    private Optional<SimulatedDaemon> holder = Optional.empty();
    private long nextSequence;
    private long nowMillis;
    private long worstExcessMillis = Long.MIN_VALUE;
    private String worstSend = "nothing was sent late";
    private int heldRequests;
    private long longestHoldMillis;

    /** A kind of fault to inject. */
    enum Fault {
        CONTROL_LATE,
        TRAFFIC_LATE,
        PROCESS_LATE,
        SLOW_LINK,
        FULL_LINK,
        LATE_RETRANSMISSION,
        FREEZE,
        CLOCK_STEP,
        RESTART,
        HOLDER_LOST,
        OUTAGE,
        DISCONNECTION
    }

    /**
     * The parameters of a simulation.
     *
     * @param daemons number of daemons at the start
     * @param guaranteeMillis the time after a departure from which no request may be sent
     * @param faults the faults to inject
     * @param settlingMillis the time after an outage or a freeze in which a daemon may learn what
     *     it missed
     * @param checksAtSend whether the age is checked when a request is sent
     * @param ignoresOwnDelays whether reads that failed because of a delay of the daemon itself are
     *     ignored
     * @param checksLink whether reads that failed while the link was full are ignored
     */
    record Parameters(
            int daemons,
            long guaranteeMillis,
            Set<Fault> faults,
            long settlingMillis,
            boolean checksAtSend,
            boolean ignoresOwnDelays,
            boolean checksLink) {
        Parameters withoutCheckAtSend() {
            return new Parameters(
                    daemons,
                    guaranteeMillis,
                    faults,
                    settlingMillis,
                    false,
                    ignoresOwnDelays,
                    checksLink);
        }

        Parameters withoutOwnDelayCheck() {
            return new Parameters(
                    daemons,
                    guaranteeMillis,
                    faults,
                    settlingMillis,
                    checksAtSend,
                    false,
                    checksLink);
        }

        Parameters withoutLinkCheck() {
            return new Parameters(
                    daemons,
                    guaranteeMillis,
                    faults,
                    settlingMillis,
                    checksAtSend,
                    ignoresOwnDelays,
                    false);
        }
    }

    private record Event(long atMillis, long sequence, Runnable task) {}

    /** A span of time. */
    record Span(long fromMillis, long toMillis) {
        static final Span NONE = new Span(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

        boolean overlaps(long beginMillis, long endMillis) {
            return fromMillis <= endMillis && beginMillis < toMillis;
        }
    }

    private StalenessSimulation(Random random, Parameters parameters) {
        this.random = random;
        this.run = parameters;
        this.bound = StalenessBound.of(parameters.guaranteeMillis(), parameters.settlingMillis());
        this.faults = List.copyOf(parameters.faults());
        IntStream.range(0, parameters.daemons())
                .forEach(number -> schedule(random.nextInt(300), this::start));
        schedule(500, this::electHolder);
        schedule(WARM_UP_MILLIS, this::departTarget);
        schedule(WARM_UP_MILLIS, this::injectFault);
    }

    /**
     * Runs a random simulation.
     *
     * @param seed seed of the random numbers
     * @param parameters the parameters
     * @return the simulation after its end
     */
    static StalenessSimulation run(long seed, Parameters parameters) {
        StalenessSimulation scenario = new StalenessSimulation(new Random(seed), parameters);
        scenario.runEvents();
        return scenario;
    }

    /**
     * Returns by how much the latest request after a departure exceeded the guarantee; positive
     * values violate it.
     */
    long worstExcessMillis() {
        return worstExcessMillis;
    }

    /** Describes that request. */
    String worstSend() {
        return worstSend;
    }

    /** Returns the number of requests for which the information was too old. */
    int heldRequests() {
        return heldRequests;
    }

    /**
     * Returns the longest time for which a daemon sent nothing because its information was too old.
     */
    long longestHoldMillis() {
        return longestHoldMillis;
    }

    private void runEvents() {
        while (!events.isEmpty() && events.peek().atMillis() < END_MILLIS) {
            Event event = events.remove();
            nowMillis = event.atMillis();
            event.task().run();
        }
    }

    Random random() {
        return random;
    }

    long nowMillis() {
        return nowMillis;
    }

    Parameters parameters() {
        return run;
    }

    StalenessBound bound() {
        return bound;
    }

    void schedule(long atMillis, Runnable task) {
        events.add(new Event(atMillis, nextSequence++, task));
    }

    int recordCount() {
        return departuresAtMillis.size();
    }

    boolean isHolder(SimulatedDaemon daemon) {
        return holder.filter(daemon::equals).isPresent();
    }

    Optional<SimulatedDaemon> holder() {
        return holder;
    }

    List<SimulatedDaemon> otherDaemons(SimulatedDaemon daemon) {
        return daemons.stream().filter(other -> other != daemon).collect(Collectors.toList());
    }

    Span outage() {
        return outage;
    }

    void addWaitingRead(SimulatedDaemon.Read read) {
        waitingReads.add(read);
    }

    void recordHeldRequest(long sinceMillis) {
        heldRequests++;
        longestHoldMillis = Math.max(longestHoldMillis, nowMillis - sinceMillis);
    }

    /** Records that a daemon sends to every target whose departure it does not know. */
    void recordSend(SimulatedDaemon daemon) {
        if (daemon.knownRecords() >= departuresAtMillis.size() || isExempt(daemon)) {
            return;
        }
        long departedAtMillis = departuresAtMillis.get(daemon.knownRecords());
        long excessMillis = nowMillis - departedAtMillis - bound.maxAgeMillis();
        if (excessMillis > worstExcessMillis) {
            worstExcessMillis = excessMillis;
            worstSend =
                    "at "
                            + nowMillis
                            + " to a target that departed at "
                            + departedAtMillis
                            + ": "
                            + daemon;
        }
    }

    private boolean isExempt(SimulatedDaemon daemon) {
        long sinceMillis = nowMillis - run.settlingMillis();
        long learningMillis = Math.min(run.guaranteeMillis(), run.settlingMillis());
        return daemon.freezeEndMillis() > nowMillis - learningMillis
                || outage.overlaps(sinceMillis, nowMillis)
                || daemon.disconnection().overlaps(sinceMillis, nowMillis);
    }

    private void start() {
        daemons.add(SimulatedDaemon.start(this, daemons.size()));
    }

    private void electHolder() {
        holder = daemons.stream().filter(SimulatedDaemon::isReachable).findFirst();
        holder.ifPresent(daemon -> otherDaemons(daemon).forEach(SimulatedDaemon::connect));
    }

    private void loseHolder() {
        holder = Optional.empty();
        daemons.forEach(SimulatedDaemon::loseHolder);
        schedule(nowMillis + 500 + random.nextLong(MAX_ELECTION_MILLIS), this::electHolder);
    }

    private void departTarget() {
        schedule(nowMillis + 50 + random.nextInt(2_500), this::departTarget);
        if (outage.overlaps(nowMillis, nowMillis)) {
            return;
        }
        departuresAtMillis.add(nowMillis);
        List<SimulatedDaemon.Read> woken = List.copyOf(waitingReads);
        waitingReads.clear();
        woken.forEach(SimulatedDaemon.Read::answer);
    }

    private void injectFault() {
        schedule(nowMillis + 200 + random.nextInt(2_000), this::injectFault);
        if (!faults.isEmpty()) {
            inject(faults.get(random.nextInt(faults.size())));
        }
    }

    private void inject(Fault fault) {
        switch (fault) {
            case CONTROL_LATE ->
                    randomSubset().forEach(daemon -> daemon.keepControlBusy(randomDelayMillis()));
            case TRAFFIC_LATE ->
                    randomSubset().forEach(daemon -> daemon.keepTrafficBusy(randomDelayMillis()));
            case PROCESS_LATE -> randomSubset().forEach(this::keepBusy);
            case SLOW_LINK ->
                    randomSubset()
                            .forEach(
                                    daemon ->
                                            daemon.slowLink(
                                                    random.nextInt(250), randomDelayMillis()));
            case FULL_LINK -> randomDaemon().ifPresent(this::fillLink);
            case LATE_RETRANSMISSION -> randomDaemon().ifPresent(this::losePacketsOnLink);
            case FREEZE ->
                    randomSubset().forEach(daemon -> daemon.freeze(500 + random.nextInt(8_000)));
            case CLOCK_STEP ->
                    randomSubset()
                            .forEach(daemon -> daemon.stepClock(random.nextInt(12_000) - 6_000));
            case RESTART -> randomSubset().forEach(this::restart);
            case HOLDER_LOST -> holder.ifPresent(this::restart);
            case OUTAGE -> outage = randomSpanAfter(outage);
            default ->
                    randomSubset()
                            .forEach(
                                    daemon ->
                                            daemon.disconnection(
                                                    randomSpanAfter(daemon.disconnection())));
        }
    }

    private Optional<SimulatedDaemon> randomDaemon() {
        if (daemons.isEmpty()) {
            return Optional.empty();
        }
        SimulatedDaemon any = daemons.get(random.nextInt(daemons.size()));
        return Optional.of(random.nextBoolean() ? holder.orElse(any) : any);
    }

    private void fillLink(SimulatedDaemon daemon) {
        daemon.fillLink(300 + random.nextInt(4_000), 2_000 + random.nextInt(4_000));
    }

    private void losePacketsOnLink(SimulatedDaemon daemon) {
        daemon.losePackets(300 + random.nextInt(4_000), 2_000 + random.nextInt(4_000));
    }

    private void keepBusy(SimulatedDaemon daemon) {
        long forMillis = randomDelayMillis();
        daemon.keepControlBusy(forMillis);
        daemon.keepTrafficBusy(Math.max(0, forMillis - random.nextInt(300)));
    }

    private Span randomSpanAfter(Span before) {
        return before.toMillis() > nowMillis
                ? before
                : new Span(nowMillis, nowMillis + 300 + random.nextInt(6_000));
    }

    private long randomDelayMillis() {
        return random.nextBoolean() ? 100 + random.nextInt(800) : 1_000 + random.nextInt(6_000);
    }

    private void restart(SimulatedDaemon daemon) {
        daemon.end();
        daemons.remove(daemon);
        schedule(nowMillis + random.nextInt(2_000), this::start);
        if (isHolder(daemon)) {
            loseHolder();
        }
    }

    private List<SimulatedDaemon> randomSubset() {
        double share = List.of(0.05, 0.25, 0.6).get(random.nextInt(3));
        return daemons.stream()
                .filter(daemon -> random.nextDouble() < share)
                .collect(Collectors.toList());
    }
}
