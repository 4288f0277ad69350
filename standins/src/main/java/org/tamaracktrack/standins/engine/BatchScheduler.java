package org.tamaracktrack.standins.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Continuous batching: at each step, waiting requests join the batch while there is room, and every
 * request of the batch gets one token. Not safe for use by several threads.
 */
public final class BatchScheduler {
    private static final Comparator<Job> ORDER =
            Comparator.comparingInt(Job::priority).reversed().thenComparingLong(Job::number);

    private final BatchCosts costs;
    private final int concurrency;
    private final int queueLimit;
    private final TreeSet<Job> waiting = new TreeSet<>(ORDER);
    private final Map<Long, Running> batch = new LinkedHashMap<>();

    private BatchScheduler(BatchCosts costs, int concurrency, int queueLimit) {
        this.costs = costs;
        this.concurrency = concurrency;
        this.queueLimit = queueLimit;
    }

    private static final class Running {
        private final Job job;
        private int next;

        private Running(Job job) {
            this.job = job;
            this.next = job.firstToken();
        }
    }

    /**
     * A step under way.
     *
     * @param micros how long it takes
     * @param joined the requests that joined the batch with it
     */
    public record Step(long micros, List<Job> joined) {

        /** Copies the list. */
        public Step {
            joined = List.copyOf(joined);
        }
    }

    /**
     * A token that a step gave.
     *
     * @param job whose it is
     * @param index the token's index in the answer
     * @param last whether the answer is whole with it
     */
    public record Token(long job, int index, boolean last) {}

    /**
     * Returns a scheduler without requests.
     *
     * @param costs what a batch costs
     * @param concurrency how many requests are in a batch at the most
     * @param queueLimit how many may wait
     * @return the scheduler
     */
    public static BatchScheduler of(BatchCosts costs, int concurrency, int queueLimit) {
        return new BatchScheduler(costs, concurrency, queueLimit);
    }

    /**
     * Takes a request.
     *
     * @param job the request
     * @return false when too many wait
     */
    public boolean submit(Job job) {
        return waiting.size() < queueLimit && waiting.add(job);
    }

    /**
     * Drops a request, whether it waits or runs.
     *
     * @param number its number
     */
    public void cancel(long number) {
        waiting.removeIf(job -> job.number() == number);
        batch.remove(number);
    }

    /**
     * Begins a step.
     *
     * @return the step; empty when there is nothing to do
     */
    public Optional<Step> beginStep() {
        List<Job> joined = new ArrayList<>();
        while (batch.size() < concurrency && !waiting.isEmpty()) {
            Job job = waiting.pollFirst();
            batch.put(job.number(), new Running(job));
            joined.add(job);
        }
        if (batch.isEmpty()) {
            return Optional.empty();
        }
        long promptTokens = joined.stream().mapToLong(Job::promptTokens).sum();
        return Optional.of(new Step(costs.stepMicros(batch.size(), promptTokens), joined));
    }

    /**
     * Ends a step.
     *
     * @return the tokens that it gave
     */
    public List<Token> endStep() {
        List<Token> tokens = batch.values().stream().map(BatchScheduler::advance).toList();
        tokens.stream().filter(Token::last).forEach(token -> batch.remove(token.job()));
        return tokens;
    }

    private static Token advance(Running running) {
        int index = running.next;
        running.next++;
        return new Token(running.job.number(), index, running.next >= running.job.endToken());
    }

    /**
     * Returns how many requests are in the batch.
     *
     * @return how many run
     */
    public int running() {
        return batch.size();
    }

    /**
     * Returns how many requests wait.
     *
     * @return how many wait
     */
    public int queued() {
        return waiting.size();
    }

    /**
     * Returns whether a model is in use.
     *
     * @param model the model
     * @return whether a request for it waits or runs
     */
    public boolean uses(String model) {
        return waiting.stream().anyMatch(job -> job.model().equals(model))
                || batch.values().stream().anyMatch(running -> running.job.model().equals(model));
    }
}
