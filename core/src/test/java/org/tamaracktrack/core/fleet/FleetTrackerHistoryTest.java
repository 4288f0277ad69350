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

class FleetTrackerHistoryTest {

    // Guards against dropping running targets too early, which then receive no requests, and
    // departed targets too late, which then receive requests after their bound. The registry has
    // four outages. In each, most entries expire and are written again within two seconds of its
    // return, and one target leaves for good soon after.
    @Property(seed = "71", tries = 300)
    void shouldKeepRunningTargetsAndDropDepartedTargetsInTime(
            @ForAll @LongRange(max = 1_000_000) long seed) {
        new History(seed).run();
    }

    /** Simulates the registry and a daemon that follows it, in virtual time. */
    private static final class History {
        private static final int TARGETS = 8;
        private static final int OUTAGES = 4;
        private static final long OUTAGE_INTERVAL_MILLIS = 15_000;
        private static final long CHECK_INTERVAL_MILLIS = 10;
        private static final long EXPIRY_INTERVAL_MILLIS = 250;

        /** Maximum time until a daemon detects that the registry has returned. */
        private static final long MAX_DETECTION_MILLIS = 1_500;

        /** Time after the registry's return within which expired entries are written again. */
        private static final long REREGISTRATION_MILLIS = 2_000;

        /** Maximum transmission time of a record to a daemon. */
        private static final long MAX_TRANSMISSION_MILLIS = 200;

        /** Time after an outage before which departures are not subject to the bound. */
        private static final long STABILIZATION_MILLIS = 3_000;

        private static final long MAX_USE_AFTER_DEPARTURE_MILLIS = 2_000;

        private final SplittableRandom random;
        private final FleetTracker tracker = FleetTracker.empty();
        private final PriorityQueue<Event> events =
                new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
        private final Map<TargetId, Long> runningTargets = new LinkedHashMap<>();
        private long nowMillis;

        private record Event(long atMillis, Runnable action) {}

        private History(long seed) {
            random = new SplittableRandom(seed);
            for (int number = 0; number < TARGETS; number++) {
                runningTargets.put(TargetId.of("t" + number), 1L);
                write(TargetId.of("t" + number));
            }
        }

        private void run() {
            for (int number = 1; number <= OUTAGES; number++) {
                long startMillis = number * OUTAGE_INTERVAL_MILLIS;
                at(startMillis, () -> outage(startMillis));
            }
            for (long checkMillis = 0;
                    checkMillis < (OUTAGES + 1) * OUTAGE_INTERVAL_MILLIS;
                    checkMillis += CHECK_INTERVAL_MILLIS) {
                at(checkMillis, () -> runningTargets.keySet().forEach(this::checkKnown));
            }
            for (long expiryMillis = 0;
                    expiryMillis < (OUTAGES + 1) * OUTAGE_INTERVAL_MILLIS;
                    expiryMillis += EXPIRY_INTERVAL_MILLIS) {
                at(
                        expiryMillis + random.nextLong(EXPIRY_INTERVAL_MILLIS),
                        () -> tracker.dropExpired(nowMillis));
            }
            while (!events.isEmpty()) {
                Event next = events.poll();
                nowMillis = next.atMillis();
                next.action().run();
            }
        }

        private void outage(long startMillis) {
            tracker.registryUnavailable();
            long availableMillis = startMillis + 2_500 + random.nextLong(3_500);
            long detectedMillis = availableMillis + random.nextLong(MAX_DETECTION_MILLIS);
            at(detectedMillis, () -> tracker.registryAvailable(nowMillis));
            runningTargets.keySet().stream()
                    .filter(target -> random.nextInt(10) < 7)
                    .forEach(target -> expireEntry(target, availableMillis, detectedMillis));
            leave(availableMillis);
        }

        private void expireEntry(TargetId target, long availableMillis, long detectedMillis) {
            at(detectedMillis + 1, () -> tracker.remove(target, nowMillis));
            long writtenMillis = availableMillis + random.nextLong(REREGISTRATION_MILLIS);
            long receivedMillis = Math.max(detectedMillis + 1, writtenMillis);
            at(receivedMillis + 1 + random.nextLong(MAX_TRANSMISSION_MILLIS), () -> write(target));
        }

        private void leave(long availableMillis) {
            TargetId target = runningTargets.keySet().iterator().next();
            long departedMillis = availableMillis + STABILIZATION_MILLIS + random.nextLong(3_000);
            at(departedMillis, () -> runningTargets.remove(target));
            at(
                    departedMillis + 1 + random.nextLong(MAX_TRANSMISSION_MILLIS),
                    () -> tracker.remove(target, nowMillis));
            at(departedMillis + MAX_USE_AFTER_DEPARTURE_MILLIS, () -> checkDropped(target));
        }

        private void write(TargetId target) {
            long revision = runningTargets.merge(target, 1L, Long::sum);
            tracker.accept(
                    TargetEntries.entry(
                            target.value(), 0, revision, false, TargetEntries.HOME, "model"));
        }

        private void checkKnown(TargetId target) {
            assertWithMessage("running target %s at %s ms", target, nowMillis)
                    .that(tracker.entry(target).isPresent())
                    .isTrue();
        }

        private void checkDropped(TargetId target) {
            assertWithMessage("departed target %s at %s ms", target, nowMillis)
                    .that(tracker.entry(target).isPresent())
                    .isFalse();
        }

        private void at(long atMillis, Runnable action) {
            events.add(new Event(atMillis, action));
        }
    }
}
