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
 * Daemons in virtual time that send to all targets they know, while targets leave. The store, the
 * links and the daemons' own threads and clocks fail by turns.
 */
final class StaleKnowledgeScenario {
    private static final long LEAD_MILLIS = 4_000;
    private static final long END_MILLIS = 30_000;
    private static final long MOST_ELECTION_MILLIS = 4_000;

    private final Random random;
    private final Play play;
    private final KnowledgeBound bound;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::orderedAs));
    private final List<VirtualDaemon> daemons = new ArrayList<>();
    private final List<Long> leavings = new ArrayList<>();
    private final List<VirtualDaemon.Read> waiting = new ArrayList<>();
    private final List<Trouble> troubles;
    private Span outage = Span.NONE;
    private Optional<VirtualDaemon> holder = Optional.empty();
    private long ordered;
    private long nowMillis;
    private long worstExcessMillis = Long.MIN_VALUE;
    private String worst = "nothing was sent late";
    private int heldBack;
    private long longestHoldMillis;

    /** What goes wrong. */
    enum Trouble {
        CONTROL_LATE,
        TRAFFIC_LATE,
        PROCESS_LATE,
        SLOW_LINK,
        FULL_LINK,
        RESENT_LATE,
        FREEZE,
        CLOCK_STEP,
        COMING_AND_GOING,
        HOLDER_LOST,
        OUTAGE,
        CUT
    }

    /**
     * What is played.
     *
     * @param daemons how many begin
     * @param promisedMillis the time after a leaving from which nothing is sent
     * @param troubles what goes wrong
     * @param settlingMillis the time after an outage or a freeze that a daemon may take to hear of
     *     what it missed
     * @param checksAtSend whether the age is checked at the send
     * @param judgesFailures whether a read that failed by this daemon's own delay is passed over
     * @param checksLink whether a read that failed while the link was full is passed over
     */
    record Play(
            int daemons,
            long promisedMillis,
            Set<Trouble> troubles,
            long settlingMillis,
            boolean checksAtSend,
            boolean judgesFailures,
            boolean checksLink) {
        Play withoutCheckAtSend() {
            return new Play(
                    daemons,
                    promisedMillis,
                    troubles,
                    settlingMillis,
                    false,
                    judgesFailures,
                    checksLink);
        }

        Play withoutJudgement() {
            return new Play(
                    daemons,
                    promisedMillis,
                    troubles,
                    settlingMillis,
                    checksAtSend,
                    false,
                    checksLink);
        }

        Play withoutLinkCheck() {
            return new Play(
                    daemons,
                    promisedMillis,
                    troubles,
                    settlingMillis,
                    checksAtSend,
                    judgesFailures,
                    false);
        }
    }

    private record Event(long atMillis, long orderedAs, Runnable task) {}

    /** A time that something lasts. */
    record Span(long fromMillis, long toMillis) {
        static final Span NONE = new Span(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

        boolean touches(long beginMillis, long endMillis) {
            return fromMillis <= endMillis && beginMillis < toMillis;
        }
    }

    private StaleKnowledgeScenario(Random random, Play play) {
        this.random = random;
        this.play = play;
        this.bound = KnowledgeBound.of(play.promisedMillis(), play.settlingMillis());
        this.troubles = List.copyOf(play.troubles());
        IntStream.range(0, play.daemons()).forEach(number -> at(random.nextInt(300), this::start));
        at(500, this::elect);
        at(LEAD_MILLIS, this::leave);
        at(LEAD_MILLIS, this::change);
    }

    /**
     * Plays a history.
     *
     * @param seed draws it
     * @param play what is played
     * @return the history, played
     */
    static StaleKnowledgeScenario play(long seed, Play play) {
        StaleKnowledgeScenario scenario = new StaleKnowledgeScenario(new Random(seed), play);
        scenario.run();
        return scenario;
    }

    /** By how much the latest request after a leaving was too late; at most 0 is allowed. */
    long worstExcessMillis() {
        return worstExcessMillis;
    }

    /** Says which request that was. */
    String worst() {
        return worst;
    }

    /** How many requests found what is known too old. */
    int heldBack() {
        return heldBack;
    }

    /** The longest time for which a daemon sent nothing since what it knew was too old. */
    long longestHoldMillis() {
        return longestHoldMillis;
    }

    private void run() {
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

    Play rules() {
        return play;
    }

    KnowledgeBound bound() {
        return bound;
    }

    void at(long atMillis, Runnable task) {
        events.add(new Event(atMillis, ordered++, task));
    }

    int written() {
        return leavings.size();
    }

    boolean isHolder(VirtualDaemon daemon) {
        return holder.filter(daemon::equals).isPresent();
    }

    Optional<VirtualDaemon> holder() {
        return holder;
    }

    List<VirtualDaemon> others(VirtualDaemon daemon) {
        return daemons.stream().filter(other -> other != daemon).collect(Collectors.toList());
    }

    Span outage() {
        return outage;
    }

    void waits(VirtualDaemon.Read read) {
        waiting.add(read);
    }

    void held(long sinceMillis) {
        heldBack++;
        longestHoldMillis = Math.max(longestHoldMillis, nowMillis - sinceMillis);
    }

    /** A daemon sends to every target that it does not know to have left. */
    void sent(VirtualDaemon daemon) {
        if (daemon.known() >= leavings.size() || excused(daemon)) {
            return;
        }
        long leftAtMillis = leavings.get(daemon.known());
        long excessMillis = nowMillis - leftAtMillis - bound.mostAgeMillis();
        if (excessMillis > worstExcessMillis) {
            worstExcessMillis = excessMillis;
            worst = "at " + nowMillis + " to a target that left at " + leftAtMillis + ": " + daemon;
        }
    }

    private boolean excused(VirtualDaemon daemon) {
        long sinceMillis = nowMillis - play.settlingMillis();
        long learningMillis = Math.min(play.promisedMillis(), play.settlingMillis());
        return daemon.thawedMillis() > nowMillis - learningMillis
                || outage.touches(sinceMillis, nowMillis)
                || daemon.cut().touches(sinceMillis, nowMillis);
    }

    private void start() {
        daemons.add(VirtualDaemon.start(this, daemons.size()));
    }

    private void elect() {
        holder = daemons.stream().filter(VirtualDaemon::reached).findFirst();
        holder.ifPresent(daemon -> others(daemon).forEach(VirtualDaemon::connect));
    }

    private void loseHolder() {
        holder = Optional.empty();
        daemons.forEach(VirtualDaemon::loseHolder);
        at(nowMillis + 500 + random.nextLong(MOST_ELECTION_MILLIS), this::elect);
    }

    private void leave() {
        at(nowMillis + 50 + random.nextInt(2_500), this::leave);
        if (outage.touches(nowMillis, nowMillis)) {
            return;
        }
        leavings.add(nowMillis);
        List<VirtualDaemon.Read> woken = List.copyOf(waiting);
        waiting.clear();
        woken.forEach(VirtualDaemon.Read::answer);
    }

    private void change() {
        at(nowMillis + 200 + random.nextInt(2_000), this::change);
        if (!troubles.isEmpty()) {
            bring(troubles.get(random.nextInt(troubles.size())));
        }
    }

    private void bring(Trouble trouble) {
        switch (trouble) {
            case CONTROL_LATE -> some().forEach(daemon -> daemon.keepControlBusy(lateMillis()));
            case TRAFFIC_LATE -> some().forEach(daemon -> daemon.keepTrafficBusy(lateMillis()));
            case PROCESS_LATE -> some().forEach(this::keepBusy);
            case SLOW_LINK ->
                    some().forEach(daemon -> daemon.slowLink(random.nextInt(250), lateMillis()));
            case FULL_LINK -> oneLink().ifPresent(this::fillLink);
            case RESENT_LATE -> oneLink().ifPresent(this::loseOnLink);
            case FREEZE -> some().forEach(daemon -> daemon.freeze(500 + random.nextInt(8_000)));
            case CLOCK_STEP ->
                    some().forEach(daemon -> daemon.stepClock(random.nextInt(12_000) - 6_000));
            case COMING_AND_GOING -> some().forEach(this::restart);
            case HOLDER_LOST -> holder.ifPresent(this::restart);
            case OUTAGE -> outage = after(outage);
            default -> some().forEach(daemon -> daemon.cut(after(daemon.cut())));
        }
    }

    private Optional<VirtualDaemon> oneLink() {
        if (daemons.isEmpty()) {
            return Optional.empty();
        }
        VirtualDaemon any = daemons.get(random.nextInt(daemons.size()));
        return Optional.of(random.nextBoolean() ? holder.orElse(any) : any);
    }

    private void fillLink(VirtualDaemon daemon) {
        daemon.fillLink(300 + random.nextInt(4_000), 2_000 + random.nextInt(4_000));
    }

    private void loseOnLink(VirtualDaemon daemon) {
        daemon.loseOnLink(300 + random.nextInt(4_000), 2_000 + random.nextInt(4_000));
    }

    private void keepBusy(VirtualDaemon daemon) {
        long forMillis = lateMillis();
        daemon.keepControlBusy(forMillis);
        daemon.keepTrafficBusy(Math.max(0, forMillis - random.nextInt(300)));
    }

    private Span after(Span before) {
        return before.toMillis() > nowMillis
                ? before
                : new Span(nowMillis, nowMillis + 300 + random.nextInt(6_000));
    }

    private long lateMillis() {
        return random.nextBoolean() ? 100 + random.nextInt(800) : 1_000 + random.nextInt(6_000);
    }

    private void restart(VirtualDaemon daemon) {
        daemon.end();
        daemons.remove(daemon);
        at(nowMillis + random.nextInt(2_000), this::start);
        if (isHolder(daemon)) {
            loseHolder();
        }
    }

    private List<VirtualDaemon> some() {
        double share = List.of(0.05, 0.25, 0.6).get(random.nextInt(3));
        return daemons.stream()
                .filter(daemon -> random.nextDouble() < share)
                .collect(Collectors.toList());
    }
}
