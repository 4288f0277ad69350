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

class KnowledgeGateTest {
    private static final long DIFFERENCE = 1_700_000_000_000L;
    private static final StalenessBound BOUND = StalenessBound.of(2_000, 3_000);
    private static final long TOO_OLD = BOUND.maxAgeMillis() + 1;
    private static final long HOLD_MILLIS = 400;
    private static final long LOOK_MILLIS = 20;

    private final VirtualTimer timer = new VirtualTimer();
    private final List<String> seen = new ArrayList<>();
    private final FakeSource registry = new FakeSource();
    private final KnowledgeGate gate =
            new KnowledgeGate(
                    timer, () -> timer.nowMillis() + timer.dayMillis, () -> seen.add("opened"));

    /** Time that passes only when it is told to. */
    private static final class VirtualTimer implements LoadExchange.Timer {
        private final PriorityQueue<Task> tasks =
                new PriorityQueue<>(
                        Comparator.comparingLong(Task::dueMillis)
                                .thenComparingInt(Task::orderedAs));
        private long nowMillis = 100_000;
        private long dayMillis = DIFFERENCE;
        private int ordered;

        private record Task(long dueMillis, int orderedAs, Runnable task) {}

        @Override
        public void after(long delayMillis, Runnable task) {
            tasks.add(new Task(nowMillis + delayMillis, ordered++, task));
        }

        @Override
        public long nowMillis() {
            return nowMillis;
        }

        private void pass(long millis) {
            long untilMillis = nowMillis + millis;
            while (!tasks.isEmpty() && tasks.peek().dueMillis() <= untilMillis) {
                Task due = tasks.remove();
                nowMillis = due.dueMillis();
                due.task().run();
            }
            nowMillis = untilMillis;
        }
    }

    /** A part of the store that is read when the test says so. */
    private final class FakeSource implements KnowledgeSource {
        private StoreFreshness knowledge = StoreFreshness.unknown();
        private int refreshes;

        @Override
        public StoreFreshness knowledge() {
            return knowledge;
        }

        @Override
        public void refresh() {
            refreshes++;
        }

        private void read() {
            knowledge = knowledge.afterRead(moment());
        }

        private void away() {
            knowledge = knowledge.afterStoreUnavailable(moment());
        }

        private DualTimestamp moment() {
            return new DualTimestamp(timer.nowMillis(), timer.nowMillis() + timer.dayMillis);
        }
    }

    @BeforeEach
    void watch() {
        registry.read();
        gate.watch("registry", BOUND, registry);
    }

    private void ask(String name) {
        gate.whenOpen(() -> seen.add(name), () -> seen.add("no " + name));
    }

    @Nested
    class Open {

        // Guards against requests that wait though what is known is fresh.
        @Test
        void shouldProceedAtOnceWhenWhatIsKnownIsFresh() {
            timer.pass(TOO_OLD - 1);
            ask("a");

            assertThat(seen).containsExactly("a");
            assertThat(gate.closed()).isFalse();
            assertThat(registry.refreshes).isEqualTo(0);
        }

        // Guards against a gate without parts that holds everything.
        @Test
        void shouldProceedAtOnceWhenNothingIsWatched() {
            KnowledgeGate empty = new KnowledgeGate(timer, timer::nowMillis, () -> {});
            empty.whenOpen(() -> seen.add("a"), () -> seen.add("no a"));

            assertThat(seen).containsExactly("a");
            assertThat(empty.standing()).isEqualTo(StalenessState.FRESH);
        }

        // Guards against an outage of the store that stops every request.
        @Test
        void shouldProceedAtOnceWhenTheStoreIsAway() {
            timer.pass(60_000);
            registry.away();
            timer.pass(BOUND.maxUnavailableAgeMillis());
            ask("a");

            assertThat(seen).containsExactly("a");
            assertThat(gate.standing()).isEqualTo(StalenessState.TOLERATED);
            assertThat(gate.closed()).isFalse();
            assertThat(gate.refuses()).isFalse();
        }
    }

    @Nested
    class Closed {

        // Guards against requests that act on what is too old.
        @Test
        void shouldHoldRequestsWhenWhatIsKnownIsTooOld() {
            timer.pass(TOO_OLD);
            ask("a");
            timer.pass(HOLD_MILLIS - 1);

            assertThat(seen).isEmpty();
            assertThat(gate.closed()).isTrue();
            assertThat(gate.refuses()).isFalse();
        }

        // Guards against an outage that is over and opens the gate for good.
        @Test
        void shouldHoldRequestsWhenTheStoreWasAwayTooLongAgo() {
            timer.pass(60_000);
            registry.away();
            timer.pass(BOUND.maxUnavailableAgeMillis() + 1);
            ask("a");

            assertThat(seen).isEmpty();
            assertThat(gate.closed()).isTrue();
            assertThat(registry.refreshes).isEqualTo(1);
        }

        // Guards against a process that was frozen and goes on by what it knew before.
        @Test
        void shouldHoldRequestsWhenTheProcessWasFrozen() {
            timer.dayMillis += TOO_OLD;
            ask("a");

            assertThat(seen).isEmpty();
            assertThat(gate.closed()).isTrue();
        }

        // Guards against one old part that is hidden by a fresh one.
        @Test
        void shouldHoldRequestsWhenOnlyOnePartIsTooOld() {
            FakeSource ends = new FakeSource();
            timer.pass(TOO_OLD);
            ends.read();
            gate.watch("ends", BOUND, ends);
            ask("a");

            assertThat(seen).isEmpty();
            assertThat(registry.refreshes).isEqualTo(1);
            assertThat(ends.refreshes).isEqualTo(0);
        }

        // Guards against one part that the store keeps away and that lets another be too old.
        @Test
        void shouldHoldRequestsWhenOnePartIsKeptAndAnotherIsTooOld() {
            FakeSource ends = new FakeSource();
            ends.away();
            gate.watch("ends", BOUND, ends);
            timer.pass(TOO_OLD);
            ask("a");

            assertThat(seen).isEmpty();
        }

        // Guards against a store that gets a read for each request that waits.
        @Test
        void shouldAskForOneReadWhenManyRequestsWait() {
            timer.pass(TOO_OLD);
            IntStream.range(0, 50).forEach(request -> ask("request " + request));
            timer.pass(HOLD_MILLIS + LOOK_MILLIS);
            ask("later");

            assertThat(registry.refreshes).isEqualTo(1);
        }

        // Guards against a look that piles up with each request.
        @Test
        void shouldLookOnceAtATimeWhenManyRequestsWait() {
            timer.pass(TOO_OLD);
            IntStream.range(0, 50).forEach(request -> ask("request " + request));
            timer.pass(10 * LOOK_MILLIS);

            assertThat(timer.tasks).hasSize(1);
        }
    }

    @Nested
    class OpensAgain {

        // Guards against requests that overtake each other, and against work that waits for good.
        @Test
        void shouldReleaseInTheOrderOfArrivalWhenItIsFreshAgain() {
            timer.pass(TOO_OLD);
            List.of("a", "b", "c").forEach(KnowledgeGateTest.this::ask);
            registry.read();
            timer.pass(LOOK_MILLIS);

            assertThat(seen).containsExactly("a", "b", "c", "opened").inOrder();
            assertThat(gate.closed()).isFalse();
        }

        // Guards against a newcomer that is served before those that wait.
        @Test
        void shouldReleaseThoseThatWaitBeforeANewcomerThatFindsItFresh() {
            timer.pass(TOO_OLD);
            List.of("a", "b").forEach(KnowledgeGateTest.this::ask);
            registry.read();
            ask("c");

            assertThat(seen).containsExactly("a", "b", "opened", "c").inOrder();
        }

        // Guards against an outage that is known only after it began and holds requests for good.
        @Test
        void shouldReleaseWhenTheStoreTurnsOutToBeAway() {
            timer.pass(TOO_OLD);
            ask("a");
            registry.away();
            timer.pass(LOOK_MILLIS);

            assertThat(seen).containsExactly("a", "opened").inOrder();
        }

        // Guards against requests that are answered twice.
        @Test
        void shouldAnswerEachRequestOnceWhenItClosesAndOpensAgain() {
            timer.pass(TOO_OLD);
            ask("a");
            registry.read();
            timer.pass(LOOK_MILLIS);
            timer.pass(TOO_OLD);
            ask("b");
            registry.read();
            timer.pass(2 * HOLD_MILLIS);

            assertThat(seen).containsExactly("a", "opened", "b", "opened").inOrder();
            assertThat(registry.refreshes).isEqualTo(2);
        }

        // Guards against a request that is held by its own release and never looked at again.
        @Test
        void shouldHoldAgainWhenARequestIsReleasedIntoAClosedGate() {
            timer.pass(TOO_OLD);
            gate.whenOpen(
                    () -> {
                        timer.dayMillis += TOO_OLD;
                        ask("again");
                    },
                    () -> seen.add("no"));
            registry.read();
            timer.pass(LOOK_MILLIS);
            registry.read();
            timer.pass(LOOK_MILLIS);

            assertThat(seen).contains("again");
            assertThat(seen).doesNotContain("no again");
        }

        // Guards against looks that go on for ever when all is well.
        @Test
        void shouldLookNoMoreWhenItIsOpen() {
            timer.pass(TOO_OLD);
            ask("a");
            registry.read();
            timer.pass(2 * LOOK_MILLIS);

            assertThat(timer.tasks).isEmpty();
        }
    }

    @Nested
    class Refuses {

        // Guards against callers that wait for as long as their time allows.
        @Test
        void shouldRefuseAllThatWaitWhenTheHoldIsOver() {
            timer.pass(TOO_OLD);
            ask("a");
            timer.pass(HOLD_MILLIS / 2);
            ask("b");
            timer.pass(HOLD_MILLIS / 2 + LOOK_MILLIS);

            assertThat(seen).containsExactly("no a", "no b").inOrder();
            assertThat(gate.refuses()).isTrue();
        }

        // Guards against newcomers that wait where nobody was served for half a second.
        @Test
        void shouldRefuseANewcomerAtOnceWhenTheHoldIsOver() {
            timer.pass(TOO_OLD);
            ask("a");
            timer.pass(HOLD_MILLIS);
            ask("b");

            assertThat(seen).contains("no b");
        }

        // Guards against a daemon that goes on refusing when what it knows is fresh.
        @Test
        void shouldServeAgainWhenItIsFreshAfterItRefused() {
            timer.pass(TOO_OLD);
            ask("a");
            timer.pass(2 * HOLD_MILLIS);
            registry.read();
            timer.pass(LOOK_MILLIS);
            ask("b");

            assertThat(seen).containsExactly("no a", "opened", "b").inOrder();
            assertThat(gate.refuses()).isFalse();
        }

        // Guards against a hold that counts from the closing before.
        @Test
        void shouldHoldAnewWhenItClosesOnceMore() {
            timer.pass(TOO_OLD);
            ask("a");
            timer.pass(2 * HOLD_MILLIS);
            registry.read();
            timer.pass(TOO_OLD);
            ask("b");
            timer.pass(HOLD_MILLIS - 1);

            assertThat(seen).containsExactly("no a", "opened").inOrder();
            timer.pass(LOOK_MILLIS);
            assertThat(seen).containsExactly("no a", "opened", "no b").inOrder();
        }
    }
}
