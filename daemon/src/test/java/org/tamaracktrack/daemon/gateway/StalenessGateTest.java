package org.tamaracktrack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tamaracktrack.core.knowledge.DualTimestamp;
import org.tamaracktrack.core.knowledge.StalenessBound;
import org.tamaracktrack.core.knowledge.StalenessState;
import org.tamaracktrack.core.knowledge.StoreFreshness;
import org.tamaracktrack.daemon.load.LoadExchange;

class StalenessGateTest {
    private static final long CLOCK_DIFFERENCE_MILLIS = 1_700_000_000_000L;
    private static final StalenessBound BOUND = StalenessBound.of(2_000, 3_000);
    private static final long TOO_OLD_MILLIS = BOUND.maxAgeMillis() + 1;
    private static final long HOLD_MILLIS = 400;
    private static final long CHECK_INTERVAL_MILLIS = 20;

    private final VirtualTimer timer = new VirtualTimer();
    private final List<String> events = new ArrayList<>();
    private final FakeSource registry = new FakeSource();
    private final StalenessGate gate =
            new StalenessGate(
                    timer, () -> timer.nowMillis() + timer.dayMillis, () -> events.add("opened"));

    /** A timer whose time advances only when the test says so. */
    private static final class VirtualTimer implements LoadExchange.Timer {
        private final PriorityQueue<Task> tasks =
                new PriorityQueue<>(
                        Comparator.comparingLong(Task::dueMillis).thenComparingInt(Task::sequence));
        private long nowMillis = 100_000;
        private long dayMillis = CLOCK_DIFFERENCE_MILLIS;
        private int nextSequence;

        private record Task(long dueMillis, int sequence, Runnable task) {}

        @Override
        public void after(long delayMillis, Runnable task) {
            tasks.add(new Task(nowMillis + delayMillis, nextSequence++, task));
        }

        @Override
        public long nowMillis() {
            return nowMillis;
        }

        private void advance(long millis) {
            long untilMillis = nowMillis + millis;
            while (!tasks.isEmpty() && tasks.peek().dueMillis() <= untilMillis) {
                Task due = tasks.remove();
                nowMillis = due.dueMillis();
                due.task().run();
            }
            nowMillis = untilMillis;
        }
    }

    /** A source that is read only when the test says so. */
    private final class FakeSource implements FreshnessSource {
        private StoreFreshness freshness = StoreFreshness.unknown();
        private int refreshCount;

        @Override
        public StoreFreshness freshness() {
            return freshness;
        }

        @Override
        public void refresh() {
            refreshCount++;
        }

        private void recordRead() {
            freshness = freshness.afterRead(now());
        }

        private void recordUnavailable() {
            freshness = freshness.afterStoreUnavailable(now());
        }

        private DualTimestamp now() {
            return new DualTimestamp(timer.nowMillis(), timer.nowMillis() + timer.dayMillis);
        }
    }

    @BeforeEach
    void watch() {
        registry.recordRead();
        gate.watch("registry", BOUND, registry);
    }

    private void submit(String name) {
        gate.whenOpen(() -> events.add(name), () -> events.add("no " + name));
    }

    @Nested
    class Open {

        // Guards against requests that wait although the information is fresh.
        @Test
        void shouldProceedAtOnceWhenInformationIsFresh() {
            timer.advance(TOO_OLD_MILLIS - 1);
            submit("a");

            assertThat(events).containsExactly("a");
            assertThat(gate.isClosed()).isFalse();
            assertThat(registry.refreshCount).isEqualTo(0);
        }

        // Guards against a gate without sources that holds every request.
        @Test
        void shouldProceedAtOnceWhenNothingIsWatched() {
            StalenessGate empty = new StalenessGate(timer, timer::nowMillis, () -> {});
            empty.whenOpen(() -> events.add("a"), () -> events.add("no a"));

            assertThat(events).containsExactly("a");
            assertThat(empty.state()).isEqualTo(StalenessState.FRESH);
        }

        // Guards against an outage of the store that stops every request.
        @Test
        void shouldProceedAtOnceWhenTheStoreIsUnavailable() {
            timer.advance(60_000);
            registry.recordUnavailable();
            timer.advance(BOUND.maxUnavailableAgeMillis());
            submit("a");

            assertThat(events).containsExactly("a");
            assertThat(gate.state()).isEqualTo(StalenessState.TOLERATED);
            assertThat(gate.isClosed()).isFalse();
            assertThat(gate.refusesRequests()).isFalse();
        }
    }

    @Nested
    class Closed {

        // Guards against requests that are processed with stale information.
        @Test
        void shouldHoldRequestsWhenInformationIsStale() {
            timer.advance(TOO_OLD_MILLIS);
            submit("a");
            timer.advance(HOLD_MILLIS - 1);

            assertThat(events).isEmpty();
            assertThat(gate.isClosed()).isTrue();
            assertThat(gate.refusesRequests()).isFalse();
        }

        // Guards against a past outage that keeps the gate open for good.
        @Test
        void shouldHoldRequestsWhenTheStoreWasLastUnavailableTooLongAgo() {
            timer.advance(60_000);
            registry.recordUnavailable();
            timer.advance(BOUND.maxUnavailableAgeMillis() + 1);
            submit("a");

            assertThat(events).isEmpty();
            assertThat(gate.isClosed()).isTrue();
            assertThat(registry.refreshCount).isEqualTo(1);
        }

        // Guards against a process that was frozen and continues with the information from before.
        @Test
        void shouldHoldRequestsWhenTheProcessWasFrozen() {
            timer.dayMillis += TOO_OLD_MILLIS;
            submit("a");

            assertThat(events).isEmpty();
            assertThat(gate.isClosed()).isTrue();
        }

        // Guards against one stale source that is hidden by a fresh one.
        @Test
        void shouldHoldRequestsWhenOnlyOneSourceIsStale() {
            FakeSource ends = new FakeSource();
            timer.advance(TOO_OLD_MILLIS);
            ends.recordRead();
            gate.watch("ends", BOUND, ends);
            submit("a");

            assertThat(events).isEmpty();
            assertThat(registry.refreshCount).isEqualTo(1);
            assertThat(ends.refreshCount).isEqualTo(0);
        }

        // Guards against a source that is tolerated during an outage of the store and hides another
        // one that is stale.
        @Test
        void shouldHoldRequestsWhenOneSourceIsToleratedAndAnotherIsStale() {
            FakeSource ends = new FakeSource();
            ends.recordUnavailable();
            gate.watch("ends", BOUND, ends);
            timer.advance(TOO_OLD_MILLIS);
            submit("a");

            assertThat(events).isEmpty();
        }

        // Guards against one read of the store for each waiting request.
        @Test
        void shouldRefreshOnceWhenManyRequestsWait() {
            timer.advance(TOO_OLD_MILLIS);
            IntStream.range(0, 50).forEach(request -> submit("request " + request));
            timer.advance(HOLD_MILLIS + CHECK_INTERVAL_MILLIS);
            submit("later");

            assertThat(registry.refreshCount).isEqualTo(1);
        }

        // Guards against one scheduled check for each waiting request.
        @Test
        void shouldScheduleOneCheckWhenManyRequestsWait() {
            timer.advance(TOO_OLD_MILLIS);
            IntStream.range(0, 50).forEach(request -> submit("request " + request));
            timer.advance(10 * CHECK_INTERVAL_MILLIS);

            assertThat(timer.tasks).hasSize(1);
        }
    }

    @Nested
    class OpensAgain {

        // Guards against requests that overtake each other, and against waiting requests that are
        // not retried.
        @Test
        void shouldReleaseRequestsInArrivalOrderWhenInformationIsFreshAgain() {
            timer.advance(TOO_OLD_MILLIS);
            List.of("a", "b", "c").forEach(StalenessGateTest.this::submit);
            registry.recordRead();
            timer.advance(CHECK_INTERVAL_MILLIS);

            assertThat(events).containsExactly("a", "b", "c", "opened").inOrder();
            assertThat(gate.isClosed()).isFalse();
        }

        // Guards against a new request that is served before those that wait.
        @Test
        void shouldReleaseHeldRequestsBeforeANewRequest() {
            timer.advance(TOO_OLD_MILLIS);
            List.of("a", "b").forEach(StalenessGateTest.this::submit);
            registry.recordRead();
            submit("c");

            assertThat(events).containsExactly("a", "b", "opened", "c").inOrder();
        }

        // Guards against requests that are held for good because an outage is detected only after
        // it began.
        @Test
        void shouldReleaseRequestsWhenTheStoreIsFoundUnavailable() {
            timer.advance(TOO_OLD_MILLIS);
            submit("a");
            registry.recordUnavailable();
            timer.advance(CHECK_INTERVAL_MILLIS);

            assertThat(events).containsExactly("a", "opened").inOrder();
        }

        // Guards against requests that are answered twice.
        @Test
        void shouldCompleteEachRequestOnceWhenTheGateClosesAndOpensAgain() {
            timer.advance(TOO_OLD_MILLIS);
            submit("a");
            registry.recordRead();
            timer.advance(CHECK_INTERVAL_MILLIS);
            timer.advance(TOO_OLD_MILLIS);
            submit("b");
            registry.recordRead();
            timer.advance(2 * HOLD_MILLIS);

            assertThat(events).containsExactly("a", "opened", "b", "opened").inOrder();
            assertThat(registry.refreshCount).isEqualTo(2);
        }

        // Guards against a request that is held again during its own release and never checked
        // again.
        @Test
        void shouldHoldAgainWhenARequestIsReleasedIntoAClosedGate() {
            timer.advance(TOO_OLD_MILLIS);
            gate.whenOpen(
                    () -> {
                        timer.dayMillis += TOO_OLD_MILLIS;
                        submit("again");
                    },
                    () -> events.add("no"));
            registry.recordRead();
            timer.advance(CHECK_INTERVAL_MILLIS);
            registry.recordRead();
            timer.advance(CHECK_INTERVAL_MILLIS);

            assertThat(events).contains("again");
            assertThat(events).doesNotContain("no again");
        }

        // Guards against checks that continue for ever while the gate is open.
        @Test
        void shouldStopCheckingWhenTheGateIsOpen() {
            timer.advance(TOO_OLD_MILLIS);
            submit("a");
            registry.recordRead();
            timer.advance(2 * CHECK_INTERVAL_MILLIS);

            assertThat(timer.tasks).isEmpty();
        }
    }

    @Nested
    class Refuses {

        // Guards against callers that wait for their whole timeout.
        @Test
        void shouldRefuseHeldRequestsWhenTheHoldTimeIsOver() {
            timer.advance(TOO_OLD_MILLIS);
            submit("a");
            timer.advance(HOLD_MILLIS / 2);
            submit("b");
            timer.advance(HOLD_MILLIS / 2 + CHECK_INTERVAL_MILLIS);

            assertThat(events).containsExactly("no a", "no b").inOrder();
            assertThat(gate.refusesRequests()).isTrue();
        }

        // Guards against new requests that wait at a daemon that has served nobody for half a
        // second.
        @Test
        void shouldRefuseANewRequestAtOnceWhenTheHoldTimeIsOver() {
            timer.advance(TOO_OLD_MILLIS);
            submit("a");
            timer.advance(HOLD_MILLIS);
            submit("b");

            assertThat(events).contains("no b");
        }

        // Guards against a daemon that continues to refuse requests when its information is fresh.
        @Test
        void shouldProceedAgainWhenInformationIsFreshAfterRefusals() {
            timer.advance(TOO_OLD_MILLIS);
            submit("a");
            timer.advance(2 * HOLD_MILLIS);
            registry.recordRead();
            timer.advance(CHECK_INTERVAL_MILLIS);
            submit("b");

            assertThat(events).containsExactly("no a", "opened", "b").inOrder();
            assertThat(gate.refusesRequests()).isFalse();
        }

        // Guards against a hold time that counts from the previous closing.
        @Test
        void shouldHoldRequestsAgainWhenTheGateClosesAgain() {
            timer.advance(TOO_OLD_MILLIS);
            submit("a");
            timer.advance(2 * HOLD_MILLIS);
            registry.recordRead();
            timer.advance(TOO_OLD_MILLIS);
            submit("b");
            timer.advance(HOLD_MILLIS - 1);

            assertThat(events).containsExactly("no a", "opened").inOrder();
            timer.advance(CHECK_INTERVAL_MILLIS);
            assertThat(events).containsExactly("no a", "opened", "no b").inOrder();
        }
    }
}
