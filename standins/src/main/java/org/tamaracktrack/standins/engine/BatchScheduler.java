package org.tamaracktrack.standins.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Schedules requests by continuous batching. At each step, queued requests join the batch while its
 * size is below the limit, and one token is generated for every request of the batch. Not safe for
 * use by several threads.
 */
public final class BatchScheduler {
    private static final Comparator<Job> BY_PRIORITY =
            Comparator.comparingInt(Job::priority).reversed().thenComparingLong(Job::number);

    private final BatchCosts costs;
    private final int concurrency;
    private final int queueLimit;
    private final TreeSet<Job> waiting = new TreeSet<>(BY_PRIORITY);
    private final Map<Long, RunningJob> batch = new LinkedHashMap<>();

    private BatchScheduler(BatchCosts costs, int concurrency, int queueLimit) {
        this.costs = costs;
        this.concurrency = concurrency;
        this.queueLimit = queueLimit;
    }

    private static final class RunningJob {
        private final Job job;
        private int nextToken;

        private RunningJob(Job job) {
            this.job = job;
            this.nextToken = job.firstToken();
        }
    }

    /**
     * A step in progress.
     *
     * @param micros the duration in microseconds
     * @param joined the requests that joined the batch in this step
     */
    public record Step(long micros, List<Job> joined) {

        /** Copies the list. */
        public Step {
            joined = List.copyOf(joined);
        }
    }

    /**
     * A generated token.
     *
     * @param jobNumber the number of its request
     * @param index the index of the token in the answer
     * @param last whether it is the last token of the answer
     */
    public record Token(long jobNumber, int index, boolean last) {}

    /**
     * Returns a scheduler without requests.
     *
     * @param costs the costs of a batch
     * @param concurrency the maximum number of requests in the batch
     * @param queueLimit the maximum number of queued requests
     * @return the scheduler
     */
    public static BatchScheduler of(BatchCosts costs, int concurrency, int queueLimit) {
        return new BatchScheduler(costs, concurrency, queueLimit);
    }

    /**
     * Adds a request to the queue.
     *
     * @param job the request
     * @return false if the queue is full
     */
    public boolean submit(Job job) {
        return waiting.size() < queueLimit && waiting.add(job);
    }

    /**
     * Removes a request from the queue or the batch.
     *
     * @param number the number of the request
     */
    public void cancel(long number) {
        waiting.removeIf(job -> job.number() == number);
        batch.remove(number);
    }

    /**
     * Begins a step.
     *
     * @return the step; empty if there are no requests
     */
    public Optional<Step> beginStep() {
        List<Job> joined = new ArrayList<>();
        while (batch.size() < concurrency && !waiting.isEmpty()) {
            Job job = waiting.pollFirst();
            batch.put(job.number(), new RunningJob(job));
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
     * @return the tokens that the step generated
     */
    public List<Token> endStep() {
        List<Token> tokens = batch.values().stream().map(BatchScheduler::advance).toList();
        tokens.stream().filter(Token::last).forEach(token -> batch.remove(token.jobNumber()));
        return tokens;
    }

    private static Token advance(RunningJob running) {
        int index = running.nextToken;
        running.nextToken++;
        return new Token(running.job.number(), index, running.nextToken >= running.job.endToken());
    }

    /**
     * Returns the number of requests in the batch.
     *
     * @return the number
     */
    public int running() {
        return batch.size();
    }

    /**
     * Returns the number of queued requests.
     *
     * @return the number
     */
    public int queued() {
        return waiting.size();
    }

    /**
     * Returns whether a model is in use.
     *
     * @param model the model
     * @return whether a request for the model is queued or in the batch
     */
    public boolean isInUse(String model) {
        return waiting.stream().anyMatch(job -> job.model().equals(model))
                || batch.values().stream().anyMatch(running -> running.job.model().equals(model));
    }
}
