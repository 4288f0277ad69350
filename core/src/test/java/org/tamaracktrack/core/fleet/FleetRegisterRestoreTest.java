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

class FleetRegisterRestoreTest {

    // Guards against requests to a target that left, since a registry that came back from a copy
    // has its old entry again, and against targets that live and are forgotten.
    @Property(seed = "72", tries = 300)
    void shouldKnowWhoLivesAndWhoLeftWhateverTheRegistryForgets(
            @ForAll @LongRange(max = 1_000_000) long seed) {
        new History(seed).run();
    }

    /** A registry that comes back from copies, its targets, and a daemon that follows it. */
    private static final class History {
        private static final int TARGETS = 6;
        private static final long END_MILLIS = 90_000;
        private static final long LOOK_MILLIS = 50;
        private static final long WRITTEN_AGAIN_MILLIS = 2_000;
        private static final long OLDEST_COPY_MILLIS = 6_000;
        private static final long EXPIRE_MILLIS = 250;

        private final SplittableRandom random;
        private final FleetRegister register = FleetRegister.empty();
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
        private final Map<TargetId, TargetEntry> registry = new LinkedHashMap<>();
        private final Map<TargetId, TargetEntry> living = new LinkedHashMap<>();
        private final Set<TargetIncarnation> left = new HashSet<>();
        private long knownFromMillis;
        private long nowMillis;

        private record Event(long atMillis, Runnable happens) {}

        private History(long seed) {
            random = new SplittableRandom(seed);
            for (int number = 0; number < TARGETS; number++) {
                start(TargetId.of("t" + number), 1);
            }
        }

        private void run() {
            at(random.nextLong(3_000), this::change);
            at(random.nextLong(10_000), this::copy);
            for (long look = 0; look < END_MILLIS; look += LOOK_MILLIS) {
                at(look, this::check);
            }
            for (long tick = 0; tick < END_MILLIS; tick += EXPIRE_MILLIS) {
                at(tick, () -> register.expire(nowMillis));
            }
            while (!events.isEmpty() && events.peek().atMillis() < END_MILLIS) {
                Event next = events.poll();
                nowMillis = next.atMillis();
                next.happens().run();
            }
        }

        private void at(long atMillis, Runnable happens) {
            events.add(new Event(atMillis, happens));
        }

        private void change() {
            at(nowMillis + 100 + random.nextLong(2_000), this::change);
            List<TargetId> targets = List.copyOf(living.keySet());
            TargetId target = targets.get(random.nextInt(targets.size()));
            if (living.get(target).leaving()) {
                return;
            }
            switch (random.nextInt(3)) {
                case 0 -> leave(target);
                case 1 -> start(target, runOf(target) + 1);
                default -> write(entry(target, runOf(target), revisionOf(target) + 1, false));
            }
        }

        private long runOf(TargetId target) {
            return living.get(target).incarnation().startedAtMillis();
        }

        private long revisionOf(TargetId target) {
            return living.get(target).revision();
        }

        private static TargetEntry entry(TargetId target, long run, long revision, boolean leaves) {
            return Targets.entry(target.value(), run, revision, leaves, Targets.HOME, "model");
        }

        private void start(TargetId target, long run) {
            write(entry(target, run, 1, false));
        }

        private void write(TargetEntry entry) {
            living.put(entry.incarnation().target(), entry);
            put(entry);
        }

        private void put(TargetEntry entry) {
            registry.put(entry.incarnation().target(), entry);
            register.accept(entry);
        }

        // It says that it leaves, its entry goes, and its successor has another run.
        private void leave(TargetId target) {
            long run = runOf(target);
            TargetEntry leaving = entry(target, run, revisionOf(target) + 1, true);
            left.add(leaving.incarnation());
            write(leaving);
            at(nowMillis + random.nextLong(1_500), () -> end(target, run));
            at(nowMillis + 1_500 + random.nextLong(2_000), () -> startAfter(target, run));
        }

        private void startAfter(TargetId target, long run) {
            if (runOf(target) == run) {
                start(target, run + 1);
            }
        }

        private void end(TargetId target, long run) {
            if (runOf(target) == run) {
                registry.remove(target);
                register.removed(target, nowMillis);
            }
        }

        private void copy() {
            Map<TargetId, TargetEntry> copy = Map.copyOf(registry);
            at(nowMillis + random.nextLong(OLDEST_COPY_MILLIS), () -> restore(copy));
            at(nowMillis + 10_000 + random.nextLong(5_000), this::copy);
        }

        // The daemon lists anew, and who lives writes its entry again.
        private void restore(Map<TargetId, TargetEntry> copy) {
            registry.clear();
            registry.putAll(copy);
            register.away();
            register.back(nowMillis);
            copy.values().forEach(register::accept);
            register.listed(copy.keySet(), nowMillis);
            knownFromMillis = nowMillis + WRITTEN_AGAIN_MILLIS;
            living.keySet()
                    .forEach(
                            target ->
                                    at(
                                            nowMillis + random.nextLong(WRITTEN_AGAIN_MILLIS),
                                            () -> writeAgain(target)));
        }

        private void writeAgain(TargetId target) {
            if (!living.get(target).leaving()) {
                put(living.get(target));
            }
        }

        private void check() {
            living.keySet().forEach(target -> register.entry(target).ifPresent(this::checkLeft));
            if (nowMillis >= knownFromMillis) {
                living.values().stream()
                        .filter(entry -> !entry.leaving())
                        .forEach(this::checkKnown);
            }
        }

        private void checkLeft(TargetEntry known) {
            assertWithMessage("%s left, at %s ms", known.incarnation(), nowMillis)
                    .that(!left.contains(known.incarnation()) || known.leaving())
                    .isTrue();
        }

        private void checkKnown(TargetEntry lives) {
            assertWithMessage("%s lives, at %s ms", lives.incarnation(), nowMillis)
                    .that(
                            register.entry(lives.incarnation().target())
                                    .map(TargetEntry::incarnation)
                                    .filter(lives.incarnation()::equals)
                                    .isPresent())
                    .isTrue();
        }
    }
}
