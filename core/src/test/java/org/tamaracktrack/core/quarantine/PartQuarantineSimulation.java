package org.tamaracktrack.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.tamaracktrack.core.dispatch.PromptPart;
import org.tamaracktrack.core.fleet.TargetIncarnation;
import org.tamaracktrack.core.id.ServiceId;
import org.tamaracktrack.core.id.TargetId;

/**
 * Plays daemons and targets in virtual time, with the real register, hold policy, proofs and
 * trials. Targets crash when they begin to answer prompts with deadly parts, and for other reasons.
 */
final class PartQuarantineSimulation {
    private static final ServiceId SERVICE = ServiceId.of("engines");
    private static final long DURATION_MILLIS = 75_000;
    private static final long WINDOW_MILLIS = 3_000;
    private static final int CRASHES_BEFORE_BOUND = 5;
    private static final long CRASH_DELAY_MILLIS = 50;
    private static final long FIRST_EVENT_MILLIS = 40;
    private static final long ANSWER_MILLIS = 2_000;
    private static final long RESTART_MILLIS = 3_500;
    private static final int MAX_ATTEMPTS = 2;
    private static final long PERMIT_MILLIS = 50;

    /**
     * What is played.
     *
     * @param daemons the number of daemons
     * @param targets the number of targets
     * @param soundPerSecond sound requests a second
     * @param secondParts the number of parts of which each sound prompt has one after the first
     * @param deadlyPerSecond deadly requests a second
     * @param deadlyParts the number of deadly parts
     * @param deadlyFirst whether the deadly part is the first of its prompts
     * @param otherCrashesPerSecond moments a second at which targets crash for other reasons
     * @param crashesTogether how many targets crash at such a moment
     * @param waitMillis the mean time for which requests wait at a target
     * @param reportMillis the longest time until a report of an end or an answer is known
     *     everywhere
     * @param lostReports the share of reports that are lost
     * @param crashProgress how far the answer to a deadly request has come when its target crashes
     */
    record Setting(
            int daemons,
            int targets,
            double soundPerSecond,
            int secondParts,
            double deadlyPerSecond,
            int deadlyParts,
            boolean deadlyFirst,
            double otherCrashesPerSecond,
            int crashesTogether,
            double waitMillis,
            long reportMillis,
            double lostReports,
            AnswerProgress crashProgress) {}

    /**
     * The result.
     *
     * @param deadlyCrashes how many targets deadly requests crashed
     * @param lateSends deadly requests sent later than 3 s after the fifth crash under their part,
     *     the most over all parts
     * @param sound sound requests
     * @param refused sound requests that were refused because of a part
     * @param deadlyRefused deadly requests that were refused
     */
    record Outcome(int deadlyCrashes, int lateSends, int sound, int refused, int deadlyRefused) {}

    private record Event(long atMillis, long order, Runnable task) {}

    private static final class Daemon {
        private final ProvenParts proven = ProvenParts.empty();
    }

    private static final class Target {
        private final int number;
        private final Set<Request> requests = new LinkedHashSet<>();
        private int run;
        private boolean up = true;

        private Target(int number) {
            this.number = number;
        }

        private TargetIncarnation incarnation() {
            return new TargetIncarnation(TargetId.of("t" + number), run);
        }
    }

    private static final class Request {
        private final int daemon;
        private final List<PartFingerprint> parts;
        private final Optional<Deadly> deadly;
        private int attempts;
        private boolean trial;
        private AnswerProgress progress = AnswerProgress.NONE;

        private Request(int daemon, List<PartFingerprint> parts, Optional<Deadly> deadly) {
            this.daemon = daemon;
            this.parts = parts;
            this.deadly = deadly;
        }
    }

    private static final class Deadly {
        private final PartFingerprint part;
        private final List<Long> crashTimes = new ArrayList<>();
        private int lateSends;

        private Deadly(PartFingerprint part) {
            this.part = part;
        }
    }

    private final Setting setting;
    private final SplittableRandom random;
    private final QuarantineRegister register = QuarantineRegister.empty();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private final List<Daemon> daemons;
    private final List<Target> targets;
    private final List<PartFingerprint> secondParts;
    private final List<Deadly> deadlyParts;
    private final PartFingerprint firstPart = part("first");
    private final Set<Suspect> clearing = new HashSet<>();
    private long nowMillis;
    private long order;
    private int sound;
    private int refused;
    private int deadlyRefused;

    private PartQuarantineSimulation(Setting setting, long seed) {
        this.setting = setting;
        this.random = new SplittableRandom(seed);
        this.daemons =
                Stream.generate(Daemon::new).limit(setting.daemons()).collect(Collectors.toList());
        this.targets =
                IntStream.range(0, setting.targets())
                        .mapToObj(Target::new)
                        .collect(Collectors.toList());
        this.secondParts =
                IntStream.range(0, setting.secondParts())
                        .mapToObj(number -> part("second" + number))
                        .collect(Collectors.toList());
        this.deadlyParts =
                IntStream.range(0, setting.deadlyParts())
                        .mapToObj(number -> new Deadly(part("deadly" + number)))
                        .collect(Collectors.toList());
    }

    private static PartFingerprint part(String id) {
        return PartFingerprint.of(SERVICE, new PromptPart(id, 40));
    }

    static Outcome play(Setting setting, long seed) {
        return new PartQuarantineSimulation(setting, seed).play();
    }

    private Outcome play() {
        repeat(setting.soundPerSecond(), this::arriveSound);
        repeat(setting.deadlyPerSecond(), this::arriveDeadly);
        repeat(setting.otherCrashesPerSecond(), this::crashForOtherReason);
        while (!events.isEmpty() && events.peek().atMillis() < DURATION_MILLIS) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.task().run();
        }
        return new Outcome(
                deadlyParts.stream().mapToInt(deadly -> deadly.crashTimes.size()).sum(),
                deadlyParts.stream().mapToInt(deadly -> deadly.lateSends).max().orElse(0),
                sound,
                refused,
                deadlyRefused);
    }

    private void after(double millis, Runnable task) {
        events.add(new Event(nowMillis + Math.round(millis), order++, task));
    }

    private void repeat(double perSecond, Runnable task) {
        if (perSecond > 0) {
            after(
                    exponential(1_000 / perSecond),
                    () -> {
                        task.run();
                        repeat(perSecond, task);
                    });
        }
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    /** Few of the second parts are asked for often, most of them rarely. */
    private PartFingerprint drawSecondPart() {
        double skewed = Math.pow(random.nextDouble(), 3);
        return secondParts.get((int) (skewed * secondParts.size()));
    }

    private void arriveSound() {
        sound++;
        send(newRequest(List.of(firstPart, drawSecondPart()), Optional.empty()));
    }

    private void arriveDeadly() {
        Deadly deadly = deadlyParts.get(random.nextInt(deadlyParts.size()));
        send(
                newRequest(
                        setting.deadlyFirst()
                                ? List.of(deadly.part, drawSecondPart())
                                : List.of(firstPart, deadly.part, drawSecondPart()),
                        Optional.of(deadly)));
    }

    private Request newRequest(List<PartFingerprint> parts, Optional<Deadly> deadly) {
        return new Request(random.nextInt(daemons.size()), parts, deadly);
    }

    private Set<Suspect> heldParts(Request request) {
        Quarantine quarantine = register.quarantine(nowMillis);
        return request.parts.stream().filter(quarantine::isHeld).collect(Collectors.toSet());
    }

    private void send(Request request) {
        Set<Suspect> held = heldParts(request);
        if (held.isEmpty()) {
            sendToTarget(request);
        } else if (request.attempts == 0
                && register.quarantine(nowMillis).mayTry(held, nowMillis)) {
            after(random.nextDouble() * PERMIT_MILLIS, () -> sendAsTrial(request, held));
        } else {
            refuse(request);
        }
    }

    private void sendAsTrial(Request request, Set<Suspect> held) {
        List<SuspectTrial> permits = register.nextTrials(held, nowMillis);
        if (permits.isEmpty()) {
            refuse(request);
            return;
        }
        if (targets.stream().anyMatch(target -> target.up)) {
            permits.forEach(register::addTrial);
            request.trial = true;
        }
        sendToTarget(request);
    }

    private void refuse(Request request) {
        if (request.deadly.isPresent()) {
            deadlyRefused++;
        } else {
            refused++;
        }
    }

    private void sendToTarget(Request request) {
        List<Target> up = targets.stream().filter(target -> target.up).collect(Collectors.toList());
        if (up.isEmpty()) {
            return;
        }
        request.deadly.filter(this::isLate).ifPresent(deadly -> deadly.lateSends++);
        Target target = up.get(random.nextInt(up.size()));
        request.attempts++;
        request.progress = AnswerProgress.NONE;
        target.requests.add(request);
        afterAt(target, request, exponential(setting.waitMillis()), () -> begin(target, request));
    }

    private boolean isLate(Deadly deadly) {
        return deadly.crashTimes.size() >= CRASHES_BEFORE_BOUND
                && nowMillis > deadly.crashTimes.get(CRASHES_BEFORE_BOUND - 1) + WINDOW_MILLIS;
    }

    /** Runs a task unless the target has ended or no longer has the request. */
    private void afterAt(Target target, Request request, double millis, Runnable task) {
        int run = target.run;
        after(
                millis,
                () -> {
                    if (target.run == run && target.up && target.requests.contains(request)) {
                        task.run();
                    }
                });
    }

    private void begin(Target target, Request request) {
        if (request.deadly.isPresent()) {
            request.progress = setting.crashProgress();
            afterAt(
                    target,
                    request,
                    CRASH_DELAY_MILLIS,
                    () -> {
                        request.deadly.get().crashTimes.add(nowMillis);
                        crash(target);
                    });
            return;
        }
        request.progress = AnswerProgress.STARTED;
        afterAt(
                target,
                request,
                FIRST_EVENT_MILLIS,
                () -> request.progress = AnswerProgress.WRITING);
        afterAt(
                target,
                request,
                FIRST_EVENT_MILLIS + AnswerProgress.ESTABLISHED_MILLIS,
                () -> establish(request));
        afterAt(target, request, ANSWER_MILLIS, () -> target.requests.remove(request));
    }

    private void establish(Request request) {
        request.progress = AnswerProgress.ESTABLISHED;
        Daemon daemon = daemons.get(request.daemon);
        Set<Suspect> suspects = register.quarantine(nowMillis).suspects();
        request.parts.forEach(
                part -> {
                    daemon.proven.record(part, nowMillis);
                    if (suspects.contains(part)) {
                        clear(part);
                    }
                });
    }

    private void clear(Suspect part) {
        if (clearing.add(part)) {
            after(
                    reportDelay(),
                    () -> {
                        clearing.remove(part);
                        register.removeAll(part);
                        register.removeTrials(part);
                    });
        }
    }

    private double reportDelay() {
        return random.nextDouble() * setting.reportMillis();
    }

    private void crashForOtherReason() {
        IntStream.range(0, setting.crashesTogether())
                .mapToObj(number -> targets.get(random.nextInt(targets.size())))
                .filter(target -> target.up)
                .forEach(this::crash);
    }

    private void crash(Target target) {
        target.up = false;
        List<Request> broken = List.copyOf(target.requests);
        target.requests.clear();
        TargetIncarnation incarnation = target.incarnation();
        target.run++;
        after(RESTART_MILLIS, () -> target.up = true);
        IntStream.range(0, daemons.size()).forEach(daemon -> report(daemon, incarnation, broken));
        broken.forEach(this::repeatAfterCrash);
    }

    private void report(int number, TargetIncarnation incarnation, List<Request> broken) {
        Daemon daemon = daemons.get(number);
        List<TargetEnd> ends =
                broken.stream()
                        .filter(request -> request.daemon == number)
                        .filter(request -> request.progress != AnswerProgress.ESTABLISHED)
                        .flatMap(request -> ends(request, incarnation))
                        .filter(end -> !daemon.proven.excuses(end.suspect(), nowMillis))
                        .collect(Collectors.toList());
        long endedMillis = nowMillis;
        if (!ends.isEmpty() && random.nextDouble() >= setting.lostReports()) {
            after(reportDelay(), () -> receive(ends, endedMillis));
        }
    }

    private static Stream<TargetEnd> ends(Request request, TargetIncarnation incarnation) {
        return request.parts.stream()
                .map(
                        part ->
                                new TargetEnd(
                                        part,
                                        incarnation,
                                        request.progress == AnswerProgress.STARTED));
    }

    private void receive(List<TargetEnd> ends, long endedMillis) {
        ends.forEach(end -> register.add(end, endedMillis));
        ends.stream()
                .map(TargetEnd::suspect)
                .distinct()
                .filter(
                        part ->
                                daemons.stream()
                                        .anyMatch(daemon -> daemon.proven.excuses(part, nowMillis)))
                .forEach(this::clear);
    }

    private void repeatAfterCrash(Request request) {
        Daemon daemon = daemons.get(request.daemon);
        Set<Suspect> suspects = register.quarantine(nowMillis).suspects();
        boolean mayBeCause =
                request.progress != AnswerProgress.ESTABLISHED
                        && request.parts.stream()
                                .filter(part -> !daemon.proven.contains(part, nowMillis))
                                .anyMatch(
                                        part ->
                                                request.progress == AnswerProgress.STARTED
                                                        || suspects.contains(part));
        if (!mayBeCause && !request.trial && request.attempts < MAX_ATTEMPTS) {
            send(request);
        }
    }
}
