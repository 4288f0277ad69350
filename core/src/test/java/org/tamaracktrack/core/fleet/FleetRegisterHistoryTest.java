package org.tamaracktrack.core.fleet;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.tamaracktrack.core.id.TargetId;

class FleetRegisterHistoryTest {

    // The registry is away four times. Most entries lapse and are written again within two seconds
    // of its return; one target leaves for good each time, soon after. Dropped too early, a target
    // that lives gets no requests; too late, one that left gets them after its bound.
    @Property(seed = "71", tries = 300)
    void shouldKeepWhoLivesAndDropWhoLeftInTime(@ForAll @LongRange(max = 1_000_000) long seed) {
        new History(seed).run();
    }

    /** What happens at the registry, and when a daemon hears of it, in virtual time. */
    private static final class History {
        private static final int TARGETS = 8;
        private static final int OUTAGES = 4;
        private static final long APART_MILLIS = 15_000;
        private static final long LOOK_MILLIS = 10;
        private static final long EXPIRE_MILLIS = 250;

        /** The longest time until a daemon notices that the registry is back. */
        private static final long NOTICE_MILLIS = 1_500;

        /** Entries that lapsed are written again within this time of the registry's return. */
        private static final long WRITTEN_AGAIN_MILLIS = 2_000;

        /** The longest way of a record to a daemon. */
        private static final long WAY_MILLIS = 200;

        /** What leaves earlier after an outage is excused. */
        private static final long STABLE_MILLIS = 3_000;

        private static final long BOUND_MILLIS = 2_000;

        private final SplittableRandom random;
        private final FleetRegister register = FleetRegister.empty();
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
        private final Map<TargetId, Long> living = new LinkedHashMap<>();
        private long nowMillis;

        private record Event(long atMillis, Runnable happens) {}

        private History(long seed) {
            random = new SplittableRandom(seed);
            for (int number = 0; number < TARGETS; number++) {
                living.put(TargetId.of("t" + number), 1L);
                write(TargetId.of("t" + number));
            }
        }

        private void run() {
            for (int number = 1; number <= OUTAGES; number++) {
                long startMillis = number * APART_MILLIS;
                at(startMillis, () -> outage(startMillis));
            }
            for (long look = 0; look < (OUTAGES + 1) * APART_MILLIS; look += LOOK_MILLIS) {
                at(look, () -> living.keySet().forEach(this::checkKnown));
            }
            for (long tick = 0; tick < (OUTAGES + 1) * APART_MILLIS; tick += EXPIRE_MILLIS) {
                at(tick + random.nextLong(EXPIRE_MILLIS), () -> register.expire(nowMillis));
            }
            while (!events.isEmpty()) {
                Event next = events.poll();
                nowMillis = next.atMillis();
                next.happens().run();
            }
        }

        private void outage(long startMillis) {
            register.away();
            long backMillis = startMillis + 2_500 + random.nextLong(3_500);
            long noticedMillis = backMillis + random.nextLong(NOTICE_MILLIS);
            at(noticedMillis, () -> register.back(nowMillis));
            living.keySet().stream()
                    .filter(target -> random.nextInt(10) < 7)
                    .forEach(target -> lapse(target, backMillis, noticedMillis));
            leave(backMillis);
        }

        private void lapse(TargetId target, long backMillis, long noticedMillis) {
            at(noticedMillis + 1, () -> register.removed(target, nowMillis));
            long writtenMillis = backMillis + random.nextLong(WRITTEN_AGAIN_MILLIS);
            long heardMillis = Math.max(noticedMillis + 1, writtenMillis);
            at(heardMillis + 1 + random.nextLong(WAY_MILLIS), () -> write(target));
        }

        private void leave(long backMillis) {
            TargetId target = living.keySet().iterator().next();
            long leftMillis = backMillis + STABLE_MILLIS + random.nextLong(3_000);
            at(leftMillis, () -> living.remove(target));
            at(
                    leftMillis + 1 + random.nextLong(WAY_MILLIS),
                    () -> register.removed(target, nowMillis));
            at(leftMillis + BOUND_MILLIS, () -> checkForgotten(target));
        }

        private void write(TargetId target) {
            long revision = living.merge(target, 1L, Long::sum);
            register.accept(
                    Targets.entry(target.value(), 0, revision, false, Targets.HOME, "model"));
        }

        private void checkKnown(TargetId target) {
            assertWithMessage("%s lives at %s ms", target, nowMillis)
                    .that(register.entry(target).isPresent())
                    .isTrue();
        }

        private void checkForgotten(TargetId target) {
            assertWithMessage("%s has left, at %s ms", target, nowMillis)
                    .that(register.entry(target).isPresent())
                    .isFalse();
        }

        private void at(long atMillis, Runnable happens) {
            events.add(new Event(atMillis, happens));
        }
    }
}
