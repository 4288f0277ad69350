package org.tamaracktrack.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.tamaracktrack.core.id.ServiceId;

/**
 * Daemons in virtual time whose targets refuse everything for a while, so that each sends as many
 * repeats as it may. One of them, the holder, tells the others how many they are.
 */
final class RetryScenario {
    static final long WINDOW_MILLIS = 10_000;
    static final double RATIO = 0.2;
    static final int SLACK = 84;

    private static final FleetRetryBudget BUDGET =
            new FleetRetryBudget(RATIO, WINDOW_MILLIS, SLACK);
    private static final ServiceId SERVICE = ServiceId.of("service");
    private static final long MOST_UNDER_WAY_MILLIS = 700;

    private static final long STEP_MILLIS = 20;
    private static final long LEAD_MILLIS = 15_000;
    private static final long END_MILLIS = 50_000;
    private static final long TICK_MILLIS = 500;
    private static final long SILENT_MILLIS = 2_500;
    private static final long MOST_LAG_MILLIS = 300;
    private static final int CHANGES = 7;
    private static final double[] RATES = {0, 5, 60, 500, 2_200};

    private final Random random;
    private final boolean changes;
    private final double rate;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((one, other) -> Long.compare(one.atMillis, other.atMillis));
    private final List<Member> members = new ArrayList<>();
    private final int usualChange;
    private final boolean repeatsAtOnce;
    private final List<Span> bursts;
    private final List<Span> refusals;
    private final Counts requests = new Counts();
    private final Counts repeats = new Counts();
    private final Map<Member, Long> heardAtMillis = new HashMap<>();
    private Optional<Member> holder = Optional.empty();
    private long electionMillis = 2_000;
    private long nowMillis;

    private RetryScenario(Random random, int daemons, boolean changes) {
        this.random = random;
        this.changes = changes;
        this.rate = RATES[random.nextInt(RATES.length)];
        this.usualChange = random.nextInt(CHANGES);
        this.repeatsAtOnce = random.nextBoolean();
        this.bursts = spans(3, 5_000);
        this.refusals = spans(3, 25_000);
        IntStream.range(0, daemons).forEach(number -> at(random.nextInt(300), this::start));
    }

    /**
     * Plays a history.
     *
     * @param seed draws it
     * @param daemons how many begin
     * @param changes whether daemons start, leave, freeze, are replaced and are cut off
     * @return the history, played
     */
    static RetryScenario play(long seed, int daemons, boolean changes) {
        RetryScenario scenario = new RetryScenario(new Random(seed), daemons, changes);
        scenario.run();
        return scenario;
    }

    /** By how much repeats exceeded what is allowed, in the worst window; at most 0 is allowed. */
    double worstExcess() {
        return IntStream.iterate(0, from -> from <= END_MILLIS - WINDOW_MILLIS, from -> from + 100)
                .mapToDouble(from -> repeats.from(from) - RATIO * most(from) - SLACK)
                .max()
                .orElseThrow();
    }

    private double most(long from) {
        return Math.max(
                requests.from(from),
                Math.max(
                        requests.from(from - WINDOW_MILLIS),
                        requests.from(from - WINDOW_MILLIS / 2)));
    }

    private record Event(long atMillis, Runnable task) {}

    private record Span(long fromMillis, long toMillis) {
        boolean holds(long atMillis) {
            return fromMillis <= atMillis && atMillis < toMillis;
        }
    }

    /** Counts by time, with the number of any window. */
    private static final class Counts {
        private final long[] counts = new long[(int) (END_MILLIS / STEP_MILLIS) + 1];

        void add(long atMillis) {
            if (atMillis < END_MILLIS) {
                counts[(int) (atMillis / STEP_MILLIS)]++;
            }
        }

        long from(long fromMillis) {
            long total = 0;
            long end = Math.min(END_MILLIS, fromMillis + WINDOW_MILLIS);
            for (long at = Math.max(0, fromMillis); at < end; at += STEP_MILLIS) {
                total += counts[(int) (at / STEP_MILLIS)];
            }
            return total;
        }
    }

    /** One process. Its steady clock stands still while it is frozen. */
    private final class Member {
        private final RetryAllowances allowances =
                RetryAllowances.of(BUDGET, steadyMillis(), nowMillis);
        private final long lagMillis = random.nextLong(MOST_LAG_MILLIS);
        private double weight = random.nextDouble();
        private long stoodStillMillis;
        private long frozenUntilMillis;
        private long cutUntilMillis;
        private int unread;
        private boolean running = true;

        boolean frozen() {
            return nowMillis < frozenUntilMillis;
        }

        boolean reached() {
            return running && !frozen() && nowMillis >= cutUntilMillis;
        }

        long steadyMillis() {
            return nowMillis - stoodStillMillis;
        }

        void freeze(long forMillis) {
            if (!frozen()) {
                frozenUntilMillis = nowMillis + forMillis;
                at(frozenUntilMillis, () -> stoodStillMillis += forMillis);
            }
        }

        // What callers sent while it was frozen lies in its sockets.
        void request() {
            unread++;
        }

        void read() {
            while (unread > 0) {
                unread--;
                allowance().request(steadyMillis());
            }
        }

        void repeatAll(long underWayMillis) {
            while (allowance().take(steadyMillis())) {
                repeats.add(nowMillis + underWayMillis);
            }
        }

        private RetryAllowance allowance() {
            return allowances.allowance(SERVICE, steadyMillis(), nowMillis);
        }

        void reload() {
            allowances.limit(new FleetRetryBudget(RATIO, WINDOW_MILLIS, SLACK - random.nextInt(2)));
        }

        void heard(List<Member> list, long agoMillis) {
            if (list.contains(this)) {
                allowances.listed(
                        list.size(), steadyMillis() - agoMillis, steadyMillis(), nowMillis);
            }
        }
    }

    private List<Span> spans(int most, int longestMillis) {
        return IntStream.rangeClosed(0, random.nextInt(most))
                .mapToObj(
                        index -> {
                            long from = LEAD_MILLIS + random.nextInt(25_000);
                            return new Span(from, from + 500 + random.nextInt(longestMillis));
                        })
                .collect(Collectors.toList());
    }

    private void at(long atMillis, Runnable task) {
        events.add(new Event(atMillis, task));
    }

    private void start() {
        members.add(new Member());
    }

    private void run() {
        at(0, this::tick);
        at(LEAD_MILLIS, this::change);
        for (nowMillis = 0; nowMillis < END_MILLIS; nowMillis += STEP_MILLIS) {
            while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
                events.remove().task().run();
            }
            if (nowMillis >= LEAD_MILLIS && !members.isEmpty()) {
                traffic();
            }
        }
    }

    private void traffic() {
        double factor = bursts.stream().anyMatch(span -> span.holds(nowMillis)) ? 3 : 1;
        double expected = rate * factor * STEP_MILLIS / 1_000;
        int count = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
        double whole = members.stream().mapToDouble(member -> member.weight).sum();
        IntStream.range(0, count)
                .forEach(
                        index -> {
                            requests.add(nowMillis);
                            choose(random.nextDouble() * whole).request();
                        });
        // A slow moment at the targets delays the repeats of all daemons alike.
        long underWayMillis = random.nextInt(20) == 0 ? MOST_UNDER_WAY_MILLIS : 0;
        boolean refusing = refusals.stream().anyMatch(span -> span.holds(nowMillis));
        members.stream()
                .filter(member -> !member.frozen())
                .forEach(
                        member -> {
                            member.read();
                            if (refusing && (repeatsAtOnce || random.nextInt(40) == 0)) {
                                member.repeatAll(underWayMillis);
                            }
                        });
    }

    private Member choose(double drawn) {
        double left = drawn;
        for (Member member : members) {
            left -= member.weight;
            if (left <= 0) {
                return member;
            }
        }
        return members.get(members.size() - 1);
    }

    // Daemons say that they are there, and the holder tells all of them who did.
    private void tick() {
        at(nowMillis + TICK_MILLIS, this::tick);
        if (holder.filter(Member::reached).isEmpty()) {
            lookForHolder();
            return;
        }
        members.stream()
                .filter(Member::reached)
                .forEach(member -> heardAtMillis.put(member, nowMillis));
        heardAtMillis.values().removeIf(heard -> nowMillis - heard > SILENT_MILLIS);
        List<Member> list = List.copyOf(heardAtMillis.keySet());
        members.stream()
                .filter(Member::reached)
                .forEach(member -> at(nowMillis + member.lagMillis, () -> tell(member, list)));
    }

    private void tell(Member member, List<Member> list) {
        if (member.reached()) {
            member.heard(list, member.lagMillis);
        }
    }

    private void lookForHolder() {
        if (holder.isPresent()) {
            holder = Optional.empty();
            heardAtMillis.clear();
            electionMillis = nowMillis + 3_000 + random.nextInt(4_000);
        } else if (nowMillis >= electionMillis) {
            holder = members.stream().filter(Member::reached).findFirst();
        }
    }

    private void change() {
        at(nowMillis + 200 + random.nextInt(4_000), this::change);
        moveCallers();
        if (!changes || members.isEmpty()) {
            return;
        }
        List<Member> some = some();
        switch (random.nextInt(3) == 0 ? random.nextInt(CHANGES) : usualChange) {
            case 0 -> some.forEach(this::restart);
            case 1 -> some.subList(0, some.size() / 2).forEach(this::end);
            case 2 -> some.forEach(this::replace);
            case 3 -> at(nowMillis, this::start);
            case 4 -> some.forEach(Member::reload);
            case 5 -> some.forEach(member -> member.freeze(500 + random.nextInt(8_000)));
            default ->
                    some.forEach(
                            member ->
                                    member.cutUntilMillis =
                                            nowMillis + 500 + random.nextInt(15_000));
        }
    }

    private void moveCallers() {
        if (random.nextInt(3) == 0) {
            some().forEach(member -> member.weight = random.nextDouble() * random.nextInt(2));
        }
    }

    private List<Member> some() {
        double share = List.of(0.05, 0.25, 0.6, 1.0).get(random.nextInt(4));
        return members.stream()
                .filter(member -> random.nextDouble() < share)
                .collect(Collectors.toList());
    }

    private void end(Member member) {
        member.running = false;
        members.remove(member);
    }

    private void restart(Member member) {
        end(member);
        at(nowMillis + 300 + random.nextInt(2_000), this::start);
    }

    private void replace(Member member) {
        at(nowMillis + random.nextInt(1_000), () -> end(member));
        at(nowMillis + random.nextInt(2_000), this::start);
    }
}
