package org.tamaracktrack.standins.engine;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BatchSchedulerTest {
    private static final BatchCosts COSTS = BatchCosts.of(1, 0.5, 10);

    private static Job job(long number, int priority, int tokens) {
        return new Job(number, "m", priority, 4, 0, tokens);
    }

    @Property(seed = "4711")
    void shouldGenerateTheTokensOfEachRequestInOrder(
            @ForAll @Size(max = 30) List<@IntRange(min = 1, max = 9) Integer> lengths,
            @ForAll @IntRange(min = 1, max = 5) int concurrency) {
        BatchScheduler scheduler = BatchScheduler.of(COSTS, concurrency, 100);
        IntStream.range(0, lengths.size())
                .forEach(number -> scheduler.submit(job(number, number % 3, lengths.get(number))));
        Map<Long, Integer> tokens = new HashMap<>();
        while (scheduler.beginStep().isPresent()) {
            assertThat(scheduler.running()).isAtMost(concurrency);
            scheduler.endStep().forEach(token -> assertNextToken(tokens, token, lengths));
        }
        assertThat(tokens.keySet()).hasSize(lengths.size());
        assertThat(scheduler.queued()).isEqualTo(0);
    }

    private static void assertNextToken(
            Map<Long, Integer> tokens, BatchScheduler.Token token, List<Integer> lengths) {
        assertThat(token.index()).isEqualTo(tokens.getOrDefault(token.jobNumber(), 0));
        int length = lengths.get((int) token.jobNumber());
        assertThat(token.last()).isEqualTo(token.index() == length - 1);
        tokens.put(token.jobNumber(), token.index() + 1);
    }

    @Nested
    class Costs {
        @Test
        void shouldIncreaseWithBatchSizeAndPromptLength() {
            BatchScheduler scheduler = BatchScheduler.of(COSTS, 8, 8);
            scheduler.submit(job(1, 0, 2));
            assertThat(scheduler.beginStep().orElseThrow().micros()).isEqualTo(1040);
            scheduler.submit(job(2, 0, 2));
            assertThat(scheduler.beginStep().orElseThrow().micros()).isEqualTo(1540);
            assertThat(scheduler.beginStep().orElseThrow().micros()).isEqualTo(1500);
        }
    }

    @Nested
    class Queue {
        @Test
        void shouldStartTheRequestOfHighestPriorityFirst() {
            BatchScheduler scheduler = BatchScheduler.of(COSTS, 1, 8);
            scheduler.submit(job(1, 1, 1));
            scheduler.submit(job(2, 5, 1));
            assertThat(scheduler.beginStep().orElseThrow().joined()).containsExactly(job(2, 5, 1));
        }

        @Test
        void shouldRejectARequestWhenFull() {
            BatchScheduler scheduler = BatchScheduler.of(COSTS, 1, 1);
            assertThat(scheduler.submit(job(1, 0, 1))).isTrue();
            assertThat(scheduler.submit(job(2, 0, 1))).isFalse();
        }

        @Test
        void shouldRemoveCancelledRequests() {
            BatchScheduler scheduler = BatchScheduler.of(COSTS, 1, 8);
            scheduler.submit(job(1, 0, 5));
            scheduler.submit(job(2, 0, 5));
            scheduler.beginStep();
            scheduler.cancel(1);
            scheduler.cancel(2);
            assertThat(scheduler.beginStep()).isEqualTo(Optional.empty());
            assertThat(scheduler.isInUse("m")).isFalse();
        }
    }
}
