package org.tamaracktrack.core.fleet;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.tamaracktrack.core.id.TargetId;

class FleetTrackerRestoreTest {

    // Guards against sending requests to a departed target whose old entry is present again after
    // the registry was restored from a backup, and against dropping running targets.
    @Property(seed = "72", tries = 300)
    void shouldTrackRunningAndDepartedTargetsWhenTheRegistryIsRestoredFromBackups(
            @ForAll @LongRange(max = 1_000_000) long seed) {
        new History(seed).run();
    }

    /**
     * Simulates a registry that is restored from backups, its targets, and a daemon that follows
     * it.
     */
    private static final class History {
        private static final int TARGETS = 6;
        private static final long END_MILLIS = 90_000;
        private static final long CHECK_INTERVAL_MILLIS = 50;
        private static final long REREGISTRATION_MILLIS = 2_000;
        private static final long MAX_BACKUP_AGE_MILLIS = 6_000;
        private static final long EXPIRY_INTERVAL_MILLIS = 250;

        private final SplittableRandom random;
        private final FleetTracker tracker = FleetTracker.empty();
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
        private final Map<TargetId, TargetEntry> registry = new LinkedHashMap<>();
        private final Map<TargetId, TargetEntry> runningTargets = new LinkedHashMap<>();
        private final Set<TargetIncarnation> departedIncarnations = new HashSet<>();
        private long consistentFromMillis;
        private long nowMillis;

        private record Event(long atMillis, Runnable action) {}

        private History(long seed) {
            random = new SplittableRandom(seed);
            for (int number = 0; number < TARGETS; number++) {
                start(TargetId.of("t" + number), 1);
            }
        }

        private void run() {
            at(random.nextLong(3_000), this::change);
            at(random.nextLong(10_000), this::backup);
            for (long checkMillis = 0;
                    checkMillis < END_MILLIS;
                    checkMillis += CHECK_INTERVAL_MILLIS) {
                at(checkMillis, this::check);
            }
            for (long expiryMillis = 0;
                    expiryMillis < END_MILLIS;
                    expiryMillis += EXPIRY_INTERVAL_MILLIS) {
                at(expiryMillis, () -> tracker.dropExpired(nowMillis));
            }
            while (!events.isEmpty() && events.peek().atMillis() < END_MILLIS) {
                Event next = events.poll();
                nowMillis = next.atMillis();
                next.action().run();
            }
        }

        private void at(long atMillis, Runnable action) {
            events.add(new Event(atMillis, action));
        }

        private void change() {
            at(nowMillis + 100 + random.nextLong(2_000), this::change);
            List<TargetId> targets = List.copyOf(runningTargets.keySet());
            TargetId target = targets.get(random.nextInt(targets.size()));
            if (runningTargets.get(target).leaving()) {
                return;
            }
            switch (random.nextInt(3)) {
                case 0 -> leave(target);
                case 1 -> start(target, startedAtOf(target) + 1);
                default -> write(entry(target, startedAtOf(target), revisionOf(target) + 1, false));
            }
        }

        private long startedAtOf(TargetId target) {
            return runningTargets.get(target).incarnation().startedAtMillis();
        }

        private long revisionOf(TargetId target) {
            return runningTargets.get(target).revision();
        }

        private static TargetEntry entry(
                TargetId target, long run, long revision, boolean leaving) {
            return TargetEntries.entry(
                    target.value(), run, revision, leaving, TargetEntries.HOME, "model");
        }

        private void start(TargetId target, long run) {
            write(entry(target, run, 1, false));
        }

        private void write(TargetEntry entry) {
            runningTargets.put(entry.incarnation().target(), entry);
            put(entry);
        }

        private void put(TargetEntry entry) {
            registry.put(entry.incarnation().target(), entry);
            tracker.accept(entry);
        }

        // The target announces its departure, its entry is removed, and it restarts as another
        // incarnation.
        private void leave(TargetId target) {
            long run = startedAtOf(target);
            TargetEntry leaving = entry(target, run, revisionOf(target) + 1, true);
            departedIncarnations.add(leaving.incarnation());
            write(leaving);
            at(nowMillis + random.nextLong(1_500), () -> end(target, run));
            at(nowMillis + 1_500 + random.nextLong(2_000), () -> startAfter(target, run));
        }

        private void startAfter(TargetId target, long run) {
            if (startedAtOf(target) == run) {
                start(target, run + 1);
            }
        }

        private void end(TargetId target, long run) {
            if (startedAtOf(target) == run) {
                registry.remove(target);
                tracker.remove(target, nowMillis);
            }
        }

        private void backup() {
            Map<TargetId, TargetEntry> backup = Map.copyOf(registry);
            at(nowMillis + random.nextLong(MAX_BACKUP_AGE_MILLIS), () -> restore(backup));
            at(nowMillis + 10_000 + random.nextLong(5_000), this::backup);
        }

        // The daemon reads a new listing, and running targets write their entries again.
        private void restore(Map<TargetId, TargetEntry> backup) {
            registry.clear();
            registry.putAll(backup);
            tracker.registryUnavailable();
            tracker.registryAvailable(nowMillis);
            backup.values().forEach(tracker::accept);
            tracker.applyListing(backup.keySet(), nowMillis);
            consistentFromMillis = nowMillis + REREGISTRATION_MILLIS;
            runningTargets
                    .keySet()
                    .forEach(
                            target ->
                                    at(
                                            nowMillis + random.nextLong(REREGISTRATION_MILLIS),
                                            () -> writeAgain(target)));
        }

        private void writeAgain(TargetId target) {
            if (!runningTargets.get(target).leaving()) {
                put(runningTargets.get(target));
            }
        }

        private void check() {
            runningTargets
                    .keySet()
                    .forEach(target -> tracker.entry(target).ifPresent(this::checkNotDeparted));
            if (nowMillis >= consistentFromMillis) {
                runningTargets.values().stream()
                        .filter(entry -> !entry.leaving())
                        .forEach(this::checkKnown);
            }
        }

        private void checkNotDeparted(TargetEntry known) {
            assertWithMessage("departed target %s at %s ms", known.incarnation(), nowMillis)
                    .that(!departedIncarnations.contains(known.incarnation()) || known.leaving())
                    .isTrue();
        }

        private void checkKnown(TargetEntry running) {
            assertWithMessage("running target %s at %s ms", running.incarnation(), nowMillis)
                    .that(
                            tracker.entry(running.incarnation().target())
                                    .map(TargetEntry::incarnation)
                                    .filter(running.incarnation()::equals)
                                    .isPresent())
                    .isTrue();
        }
    }
}
