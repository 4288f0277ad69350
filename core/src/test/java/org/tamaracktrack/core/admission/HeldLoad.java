package org.tamaracktrack.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.tamaracktrack.core.id.ClientAccountId;
import org.tamaracktrack.core.id.ServiceId;

/** Plays a load against the hold policy and one engine in virtual time. */
final class HeldLoad {
    private static final ServiceId SERVICE = ServiceId.of("engines");
    private static final double TOKENS_PER_MILLI = 25;
    private static final int PASS_MILLIS = 5;

    /** Callers of streams leave after the longest of these, as at the daemon. */
    private static final long MIN_STREAM_WAIT_MILLIS = 2_000;

    private final boolean held;
    private final List<Job> jobs = new ArrayList<>();
    private final List<Job> queued = new ArrayList<>();
    private final ServiceObjectives objectives = ServiceObjectives.empty();
    private final HoldPolicy policy = ObjectiveHoldPolicy.of(objectives);
    private final HeldRequests<Job> waiting =
            HeldRequests.of(1_000, 1_000_000, (service, account, nowMillis) -> excess(account));
    private final ReleasePass pass = ReleasePass.create();
    private double workLeftMillis;
    private Job running;

    private HeldLoad(boolean held) {
        this.held = held;
    }

    static HeldLoad withPolicy() {
        return new HeldLoad(true);
    }

    /** All requests are sent at once, to an engine that takes them in the order of arrival. */
    static HeldLoad firstInFirstOut() {
        return new HeldLoad(false);
    }

    record Kind(String account, int priority, long objectiveMillis, int tokens) {}

    static final class Job {
        final Kind kind;
        final RequestTerms terms;
        boolean late;
        boolean refused;
        long sentAtMillis = -1;
        long firstPieceAtMillis = Long.MAX_VALUE;

        private Job(Kind kind, long atMillis) {
            this.kind = kind;
            long waitMillis = Math.max(MIN_STREAM_WAIT_MILLIS, 4 * kind.objectiveMillis());
            this.terms =
                    new RequestTerms(
                            SERVICE,
                            "m",
                            Optional.of(ClientAccountId.of(kind.account())),
                            kind.priority(),
                            kind.tokens(),
                            100,
                            kind.objectiveMillis(),
                            atMillis,
                            atMillis + Math.min(waitMillis, 25_000),
                            false);
        }

        boolean inTime() {
            return firstPieceAtMillis <= terms.objectiveAtMillis();
        }

        boolean served() {
            return firstPieceAtMillis != Long.MAX_VALUE;
        }

        double promptMillis() {
            return terms.tokens() / TOKENS_PER_MILLI;
        }

        int urgency() {
            return 2 * terms.priority() + (late || terms.isPatient() ? 1 : 0);
        }
    }

    HeldLoad add(Kind kind, double perSecond, long fromMillis, long toMillis) {
        double gapMillis = 1_000 / perSecond;
        for (double atMillis = fromMillis; atMillis < toMillis; atMillis += gapMillis) {
            jobs.add(new Job(kind, (long) atMillis));
        }
        return this;
    }

    HeldLoad play(long untilMillis) {
        jobs.sort(Comparator.comparingLong(job -> job.terms.arrivedAtMillis()));
        int next = 0;
        for (long nowMillis = 0; nowMillis < untilMillis; nowMillis++) {
            while (next < jobs.size() && jobs.get(next).terms.arrivedAtMillis() <= nowMillis) {
                arrive(jobs.get(next++), nowMillis);
            }
            if (nowMillis % PASS_MILLIS == 0) {
                long passMillis = nowMillis;
                pass.run(waiting, nowMillis, job -> decide(job, passMillis));
            }
            work(nowMillis);
        }
        return this;
    }

    private void arrive(Job job, long nowMillis) {
        if (held) {
            objectives.record(job.terms, nowMillis);
            decide(job, nowMillis);
        } else {
            send(job, nowMillis);
        }
    }

    private boolean decide(Job job, long nowMillis) {
        double firstPieceMillis =
                workLeftMillis
                        + queued.stream().mapToDouble(Job::promptMillis).sum()
                        + job.promptMillis();
        HoldDecision decision =
                policy.decide(
                        job.terms,
                        waiting.outlook(
                                job.terms,
                                firstPieceMillis,
                                queued.isEmpty() && running == null
                                        ? HoldPolicy.Room.UNQUEUED
                                        : HoldPolicy.Room.BUSY,
                                nowMillis),
                        nowMillis);
        job.late = decision.late();
        if (decision instanceof HoldDecision.Hold hold) {
            waiting.add(job, job.terms, hold, nowMillis);
        } else if (decision instanceof HoldDecision.Send) {
            waiting.release(job);
            send(job, nowMillis);
        } else {
            waiting.remove(job);
            job.refused = true;
        }
        return !waiting.contains(job);
    }

    private void send(Job job, long nowMillis) {
        job.sentAtMillis = nowMillis;
        queued.add(job);
    }

    private void work(long nowMillis) {
        queued.removeIf(job -> job.terms.leavesAtMillis() < nowMillis);
        if (running == null && !queued.isEmpty()) {
            running =
                    held
                            ? queued.stream().min(Comparator.comparingInt(Job::urgency)).get()
                            : queued.get(0);
            queued.remove(running);
            workLeftMillis = running.promptMillis();
        }
        workLeftMillis = Math.max(0, workLeftMillis - 1);
        if (running != null && workLeftMillis == 0) {
            running.firstPieceAtMillis = nowMillis;
            running = null;
        }
    }

    private double excess(ClientAccountId account) {
        List<Job> outstanding =
                Stream.concat(
                                Stream.concat(queued.stream(), Stream.ofNullable(running)),
                                waiting.ids().stream())
                        .toList();
        double all = outstanding.stream().mapToInt(job -> job.terms.tokens()).sum();
        double own =
                outstanding.stream()
                        .filter(job -> job.terms.account().orElseThrow().equals(account))
                        .mapToInt(job -> job.terms.tokens())
                        .sum();
        long accounts = outstanding.stream().map(job -> job.terms.account()).distinct().count();
        return all == 0 ? 0 : own * accounts / all;
    }

    List<Job> jobs(Predicate<Job> filter) {
        return jobs.stream().filter(filter).toList();
    }

    double shareInTime(Predicate<Job> filter) {
        return share(filter, Job::inTime);
    }

    double shareServed(Predicate<Job> filter) {
        return share(filter, Job::served);
    }

    private double share(Predicate<Job> filter, Predicate<Job> counted) {
        List<Job> selected = jobs(filter);
        return selected.stream().filter(counted).count() / (double) selected.size();
    }
}
